"""Decisions on which host holds a duty."""

from ladder_policy.duties.tenure import DutyTenure

__all__ = ('DutyTenure',)
