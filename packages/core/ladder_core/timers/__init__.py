"""The timer service: the only source of time for the other parts."""

from ladder_core.timers.base import PeriodicCall, TimerService
from ladder_core.timers.manual import ManualTimerService
from ladder_core.timers.system import SystemTimerService

__all__ = (
    'ManualTimerService',
    'PeriodicCall',
    'SystemTimerService',
    'TimerService',
)
