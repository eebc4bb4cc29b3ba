"""Timer services, the only source of time for all other packages."""

from ladder_core.timers.base import PeriodicCall, TimerService
from ladder_core.timers.manual import ManualTimerService
from ladder_core.timers.system import SystemTimerService

__all__ = (
    'ManualTimerService',
    'PeriodicCall',
    'SystemTimerService',
    'TimerService',
)
