"""Follow the changes of a table, with a full read after any interruption."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from loguru import logger
from prometheus_client import Counter, Gauge

from ladder_clients.table import (
    HistoryLostError,
    PartitionedTableClient,
    Row,
    RowChanges,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.supervision import TaskComponent
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService

# A silent connection is detected after this wait plus the time-out of the call.
# Their sum has to stay below the time within which a change must be known.
LONG_POLL_SECONDS = 1
RETRY_SECONDS = 0.25

_full_reads_counter = Counter(
    'ladder_feed_full_reads_total',
    'Full reads of a followed table',
    ('table',),
)
_confirmed_gauge = Gauge(
    'ladder_feed_confirmed_seconds',
    'Time by the timer service at which a followed table was last confirmed',
    ('table',),
)


class FeedListener(ABC):
    """Receives the rows of a followed table."""

    @abstractmethod
    def replace(self, rows: Sequence[Row], outage_seconds: float) -> None:
        """
        Replace all rows by those of a full read.

        Parameters
        ----------
        rows : sequence of Row
            All rows of the unnamed partition.
        outage_seconds : float
            Time for which the table could not be read before this read.

        """

    @abstractmethod
    def change(self, rows: Sequence[Row], removed: Sequence[Row]) -> None:
        """Update the rows that changed, and remove those that were deleted."""

    def confirm(self, read_at: float) -> None:  # noqa: B027 optional hook
        """
        Note that the rows were current; does nothing by default.

        Parameters
        ----------
        read_at : float
            Time in seconds at which the read began that confirms them. It is
            called after the rows of the read were applied.

        """


class TableFollower(TaskComponent):
    """
    Keep a listener up to date with one table.

    Parameters
    ----------
    table : PartitionedTableClient
        Table service that is read.
    name : str
        Name of the table that is followed.
    listener : FeedListener
        Receives the rows.
    timers : TimerService
        Clock of the age, and sleep before retries.
    timeline : Timeline
        Records when the table becomes unavailable and available again.
    poll_seconds : float, optional
        Longest wait of one call for changes. A silent connection is detected
        after this time and the time-out of the call.

    """

    def __init__(
        self,
        table: PartitionedTableClient,
        name: str,
        listener: FeedListener,
        timers: TimerService,
        timeline: Timeline,
        poll_seconds: float = LONG_POLL_SECONDS,
    ) -> None:
        super().__init__()
        self._table = table
        self._name = name
        self._poll_seconds = poll_seconds
        self._listener = listener
        self._timers = timers
        self._timeline = timeline
        self._confirmed_at: float | None = None
        self._is_unavailable = False

    @property
    def age(self) -> float | None:
        """Seconds since the listener's rows were last confirmed as current."""
        if self._confirmed_at is None:
            return None
        return self._timers.now() - self._confirmed_at

    async def _run(self) -> None:
        while True:
            try:
                await self._read_and_follow()
            except HistoryLostError:
                self._timeline.record('feed-history-lost', self._name)
            except StoreUnavailableError as error:
                self._record_outage(error)
                await self._timers.sleep(RETRY_SECONDS)
            except Exception:
                logger.exception('following table {} failed', self._name)
                await self._timers.sleep(RETRY_SECONDS)

    async def _read_and_follow(self) -> None:
        read_at = self._timers.now()
        changes = await self._table.snapshot(self._name)
        _full_reads_counter.labels(self._name).inc()
        outage = self.age or 0
        self._confirm()
        self._listener.replace(changes.rows, outage)
        self._listener.confirm(read_at)
        while True:
            read_at = self._timers.now()
            changes = await self._watch(changes.revision)
            if changes.rows or changes.removed:
                self._listener.change(changes.rows, changes.removed)
            self._listener.confirm(read_at)

    async def _watch(self, revision: int) -> RowChanges:
        changes = await self._table.watch(
            self._name, revision, self._poll_seconds
        )
        self._confirm()
        return changes

    def _confirm(self) -> None:
        self._confirmed_at = self._timers.now()
        _confirmed_gauge.labels(self._name).set(self._confirmed_at)
        if self._is_unavailable:
            self._is_unavailable = False
            self._timeline.record('dependency-regained', f'feed/{self._name}')

    def _record_outage(self, error: StoreUnavailableError) -> None:
        if not self._is_unavailable:
            self._is_unavailable = True
            self._timeline.record(
                'dependency-lost',
                f'feed/{self._name}',
                error=error.message,
                age=self.age,
            )
