"""Random schedules of faults, and their injection into a system."""

from proof.faults.injector import FaultInjector
from proof.faults.schedule import (
    FaultKind,
    FaultSchedule,
    PlannedFault,
    draw_schedule,
)

__all__ = (
    'FaultKind',
    'FaultInjector',
    'PlannedFault',
    'FaultSchedule',
    'draw_schedule',
)
