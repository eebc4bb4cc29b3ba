"""Counting and reporting of the requests that organisations send."""

from ladder_node.usage.counter import UsageCounter, UsageMark
from ladder_node.usage.holder_clock import HolderClock
from ladder_node.usage.reporter import ReportTerms, UsageReporter
from ladder_node.usage.saver import UsageSaver
from ladder_node.usage.windows import WindowClock

__all__ = (
    'HolderClock',
    'ReportTerms',
    'UsageCounter',
    'UsageMark',
    'UsageReporter',
    'UsageSaver',
    'WindowClock',
)
