"""Clock of the holder, which agrees with the nodes that count."""

import statistics
from collections.abc import Iterable

from ladder_clients.table import PartitionedTableClient, Row
from ladder_core.timers import TimerService
from ladder_node.usage.rows import decode_counts, find_row_node
from ladder_node.usage.windows import WindowClock

# The clocks of fewer nodes do not outweigh that of this host.
_MIN_NODES = 3
# Smaller differences also result from the delay of responses of the store.
_MIN_DIFFERENCE_SECONDS = 1
# Bounds the memory if hosts are replaced by ones with other names.
_MAX_NODES = 2000
_MILLISECONDS_PER_SECOND = 1000


class HolderClock(WindowClock):
    """
    Tell the time for the freeze of reports.

    Explanation
    -----------
    A holder whose clock is ahead would freeze windows before the nodes have
    counted them. The rows of the nodes hold the offset of their clocks to the
    steady clock of the store. If the clock of this host differs from their
    median by more than a second, the median applies.

    Parameters
    ----------
    timers : TimerService
        Clocks of this host.
    window_seconds : float
        Length of a window.
    table : PartitionedTableClient
        Knows the steady clock of the store.

    """

    def __init__(
        self,
        timers: TimerService,
        window_seconds: float,
        table: PartitionedTableClient,
    ) -> None:
        super().__init__(timers, window_seconds)
        self._table = table
        self._node_offsets: dict[str, int] = {}
        self._median_offset: float | None = None

    def observe(self, rows: Iterable[Row]) -> None:
        """Take over the clock offsets that rows of nodes contain."""
        if len(self._node_offsets) > _MAX_NODES:
            self._node_offsets.clear()
        for row in rows:
            offset = decode_counts(row).clock_offset
            if offset is not None:
                self._node_offsets[find_row_node(row)] = offset
        if len(self._node_offsets) >= _MIN_NODES:
            self._median_offset = statistics.median(self._node_offsets.values())

    def now(self) -> float:
        """Return the seconds since the start of 1970."""
        own = super().now()
        service = self._table.estimate_clock()
        if self._median_offset is None or service is None:
            return own
        agreed = (service + self._median_offset) / _MILLISECONDS_PER_SECOND
        is_close = abs(agreed - own) <= _MIN_DIFFERENCE_SECONDS
        return own if is_close else agreed
