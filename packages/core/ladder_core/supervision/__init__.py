"""Supervisor tree: starts, monitors, restarts and closes components."""

from ladder_core.supervision.base import Component
from ladder_core.supervision.supervisor import Supervisor
from ladder_core.supervision.task import TaskComponent

__all__ = ('Component', 'Supervisor', 'TaskComponent')
