"""Faults, schedules of them, and their injection into a running system."""

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
