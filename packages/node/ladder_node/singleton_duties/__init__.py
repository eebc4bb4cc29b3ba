"""Duties that one node of the deployment performs at a time."""

from ladder_node.singleton_duties.calls import (
    DutyCalls,
    DutyLostError,
    DutyRefusedError,
)
from ladder_node.singleton_duties.duty import SingletonDuty

__all__ = ('DutyCalls', 'DutyLostError', 'DutyRefusedError', 'SingletonDuty')
