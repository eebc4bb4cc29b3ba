"""Logs as JSON lines on standard output."""

from ladder_core.logs.events import EventLog
from ladder_core.logs.setup import configure_logs

__all__ = ('EventLog', 'configure_logs')
