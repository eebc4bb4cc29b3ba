"""The supervisor tree: what is started, watched, restarted and closed."""

from ladder_core.supervision.base import Component
from ladder_core.supervision.supervisor import Supervisor

__all__ = ('Component', 'Supervisor')
