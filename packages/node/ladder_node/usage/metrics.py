"""Metrics of usage reporting."""

from prometheus_client import Counter, Gauge, Histogram

COUNTED = Counter(
    'ladder_usage_requests_total',
    'Requests of organisations that began to run, as counted by this node',
)
NOT_RUN = Counter(
    'ladder_usage_requests_not_run_total',
    'Counted requests that their replica reported as not run',
)
DROPPED = Counter(
    'ladder_usage_requests_dropped_total',
    'Counted requests whose window became too old before it was saved',
)
SAVES = Counter(
    'ladder_usage_saves_total',
    'Transactions that save counts of this node, by what came of them',
    ('outcome',),
)
UNSAVED = Gauge(
    'ladder_usage_unsaved_windows',
    'Windows with counts of this node that are not saved',
)
WINDOWS = Counter(
    'ladder_usage_windows_total',
    'Windows that this node as the holder froze, reported or gave up',
    ('event',),
)
LATE_ROWS = Counter(
    'ladder_usage_late_rows_total',
    'Rows that were written after their window was frozen',
)
LATE_REQUESTS = Counter(
    'ladder_usage_late_requests_total',
    'Requests in these rows, which no report contains',
)
REPORT_DELAY = Histogram(
    'ladder_usage_report_delay_seconds',
    'Time from the end of a window to the answer to its report',
    buckets=(3, 4, 5, 6, 8, 10, 15, 30, 60, 120, 300),
)
