"""Logging of JSON lines to standard output."""

from ladder_core.logs.events import EventLog
from ladder_core.logs.setup import LogLine, configure_logs
from ladder_core.logs.writer import LineWriter

__all__ = ('EventLog', 'LineWriter', 'LogLine', 'configure_logs')
