"""Decisions on which host holds a duty."""

from ladder_policy.duties.successors import find_size, order_successors
from ladder_policy.duties.tenure import DutyTenure

__all__ = ('DutyTenure', 'find_size', 'order_successors')
