"""Rejected requests and closed connections, in metrics and in the log."""

from collections import Counter
from enum import StrEnum

from ladder_core.timeline import Timeline
from ladder_node.serving.metrics import REJECTIONS


class Reason(StrEnum):
    """
    Why a request was rejected or a connection was closed.

    Attributes
    ----------
    memory
        The request does not fit into the byte budget.
    malformed
        The request is no HTTP/1.1.
    head_size
        The header fields are over the limit.
    connections
        Too many connections are open; the slowest one was closed.
    head_time
        A head did not arrive in time.
    body_progress
        A body stopped arriving, or arrives too slowly.
    read_progress
        A response is not read, or too slowly.
    idle
        No request arrived.
    pressure
        The connection held memory that others need, and made no progress.

    """

    memory = 'memory'
    malformed = 'malformed'
    head_size = 'head-size'
    connections = 'connections'
    head_time = 'head-time'
    body_progress = 'body-progress'
    read_progress = 'read-progress'
    idle = 'idle'
    pressure = 'pressure'


class RejectionLog:
    """
    Count rejections, and log at most one line for each reason and period.

    Parameters
    ----------
    timeline : Timeline
        Records the lines.

    """

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._counts: Counter[Reason] = Counter()
        self._addresses: dict[Reason, str] = {}

    def add(self, reason: Reason, address: str) -> None:
        """Count a rejection of a client at an address."""
        REJECTIONS.labels(reason).inc()
        self._counts[reason] += 1
        self._addresses[reason] = address

    def flush(self) -> None:
        """Log the rejections since the last call."""
        for reason, count in self._counts.items():
            self._timeline.record(
                'clients-rejected',
                'node',
                reason=reason.value,
                count=count,
                last_address=self._addresses[reason],
            )
        self._counts.clear()
        self._addresses.clear()
