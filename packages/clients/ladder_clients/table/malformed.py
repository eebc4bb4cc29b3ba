"""Rows that another writer left and that can't be read."""

from loguru import logger
from prometheus_client import Counter

_malformed_counter = Counter(
    'ladder_malformed_rows_total',
    'Rows that were left out since they could not be read',
    ('table',),
)


def report_malformed(table: str, key: str, error: Exception) -> None:
    """Count and log a row that is left out."""
    _malformed_counter.labels(table).inc()
    logger.warning('malformed row {} of {} ignored: {}', key, table, error)
