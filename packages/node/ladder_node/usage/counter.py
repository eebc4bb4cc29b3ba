"""Counts of requests by window and organisation on one node."""

from collections import OrderedDict
from dataclasses import dataclass, field

from ladder_node.usage.metrics import COUNTED, DROPPED, NOT_RUN
from ladder_node.usage.windows import WindowClock

# Identifiers of the latest attempts, so that an attempt that a caller sends
# again to this node counts once.
_MAX_ATTEMPTS = 8192


@dataclass(frozen=True, slots=True)
class UsageMark:
    """
    A request that was counted.

    Attributes
    ----------
    window : int
        Window in which it was sent.
    organisation : str
        Organisation that sent it.
    request_id : str
        Identifies the attempt of the caller.

    """

    window: int
    organisation: str
    request_id: str


@dataclass(slots=True)
class WindowCounts:
    """
    Counts of one window.

    Attributes
    ----------
    counts : dict of str to int
        Number of requests by organisation.
    changes : int
        Number of changes of the counts so far.
    saved_changes : int
        Number of changes that the row of the window contains.
    revision : int
        Revision of the row as far as this node knows; zero for no row.

    """

    counts: dict[str, int] = field(default_factory=dict)
    changes: int = 0
    saved_changes: int = 0
    revision: int = 0

    @property
    def is_saved(self) -> bool:
        """Whether the row contains all changes."""
        return self.saved_changes == self.changes

    @property
    def total(self) -> int:
        """Number of requests of all organisations."""
        return sum(self.counts.values())


class UsageCounter:
    """
    Count the requests of organisations that begin to run.

    Parameters
    ----------
    clock : WindowClock
        Finds the window of each request.

    """

    def __init__(self, clock: WindowClock) -> None:
        self._clock = clock
        self._windows: dict[int, WindowCounts] = {}
        self._attempts: OrderedDict[tuple[str, str], None] = OrderedDict()

    @property
    def clock(self) -> WindowClock:
        """Clock by which the windows are found."""
        return self._clock

    def begin(self, organisation: str, request_id: str) -> UsageMark | None:
        """
        Count a request that is sent to a replica now.

        Parameters
        ----------
        organisation : str
            Organisation that sent it; empty for none.
        request_id : str
            Identifies the attempt of the caller.

        Returns
        -------
        UsageMark or None
            None if it does not count, or was counted before.

        """
        attempt = (organisation, request_id)
        if not organisation or attempt in self._attempts:
            return None
        self._attempts[attempt] = None
        if len(self._attempts) > _MAX_ATTEMPTS:
            self._attempts.popitem(last=False)
        mark = UsageMark(self._clock.find_window(), organisation, request_id)
        self._add(mark, 1)
        COUNTED.inc()
        return mark

    def cancel(self, mark: UsageMark) -> None:
        """Take back a request that did not run."""
        self._attempts.pop((mark.organisation, mark.request_id), None)
        NOT_RUN.inc()
        if mark.window in self._windows:
            self._add(mark, -1)

    def list_all(self) -> dict[int, WindowCounts]:
        """Return all windows that are kept, oldest first."""
        return dict(sorted(self._windows.items()))

    def list_unsaved(self, last_window: int) -> dict[int, WindowCounts]:
        """Return the windows up to one whose counts are not saved."""
        return {
            window: counts
            for window, counts in self.list_all().items()
            if window <= last_window and not counts.is_saved
        }

    def discard(self, saved_before: int, all_before: int) -> None:
        """
        Discard old windows.

        Parameters
        ----------
        saved_before : int
            Windows before this one are discarded if they are saved.
        all_before : int
            Windows before this one are discarded in any case.

        """
        for window, counts in tuple(self._windows.items()):
            if window < all_before and not counts.is_saved:
                DROPPED.inc(counts.total)
            if window < all_before or (
                window < saved_before and counts.is_saved
            ):
                self._windows.pop(window)

    def _add(self, mark: UsageMark, number: int) -> None:
        window = self._windows.setdefault(mark.window, WindowCounts())
        count = window.counts.get(mark.organisation, 0)
        window.counts[mark.organisation] = count + number
        window.changes += 1
