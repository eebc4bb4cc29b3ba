"""Faults, schedules of them, and their injection into a running system."""

from proof.faults.injector import Injector
from proof.faults.schedule import (
    FaultKind,
    PlannedFault,
    Schedule,
    draw_schedule,
)

__all__ = (
    'FaultKind',
    'Injector',
    'PlannedFault',
    'Schedule',
    'draw_schedule',
)
