"""
Evidence that requests crash replicas, and the verdicts that follow from it.

References
----------
B. Beyer et al., "Site Reliability Engineering", 2016, chapter 22, "Addressing
Cascading Failures", section "Query of Death".

"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from enum import StrEnum

# Crashes under a request from which on it runs only in trials.
QUARANTINE_CRASHES = 2

_MAX_ENTRIES = 8192
# Crashes that show a request as the cause of what others met at its side.
_PROOF_CRASHES = 3
_FIRST_PAUSE_SECONDS = 1
_PAUSE_FACTOR = 5
_MAX_PAUSE_SECONDS = 86_400
_MIN_LIFETIME_SECONDS = 600


class RequestState(StrEnum):
    """
    Verdict on a request.

    Notes
    -----
    A request is `clear` if no crash is attributed to it, `suspect` if it
    should run apart from other suspects where that is possible, and
    `quarantined` if it runs only in trials and apart from all suspects.

    """

    clear = 'clear'
    suspect = 'suspect'
    quarantined = 'quarantined'


@dataclass(frozen=True, slots=True)
class Verdict:
    """
    Verdict on a request, with the evidence for it.

    Attributes
    ----------
    state : RequestState
        State of the request.
    retry_at : float
        Time in seconds from which on the request may run.
    crashes : int
        Number of crashes that are attributed to the request.
    trials : int
        Number of trials so far.
    since : float
        Time in seconds of the first crash.

    """

    state: RequestState
    retry_at: float = 0
    crashes: int = 0
    trials: int = 0
    since: float = 0


@dataclass(frozen=True, slots=True)
class Evidence:
    """
    Evidence of one request.

    Attributes
    ----------
    crashes : tuple of str
        Processes that crashed while they ran the request.
    trials : tuple of int
        Numbers of the trials.

    """

    crashes: tuple[str, ...]
    trials: tuple[int, ...]


CLEAR = Verdict(RequestState.clear)


@dataclass(slots=True)
class _Entry:
    """Crashes and trials of one request, with their times in seconds."""

    crashes: dict[str, float] = field(default_factory=dict)
    trials: dict[int, float] = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        return not self.crashes and not self.trials

    @property
    def last_at(self) -> float:
        return max((*self.crashes.values(), *self.trials.values()), default=0)

    @property
    def pause_seconds(self) -> float:
        steps = max(len(self.trials), len(self.crashes) - QUARANTINE_CRASHES)
        pause_seconds: float = _FIRST_PAUSE_SECONDS * _PAUSE_FACTOR**steps
        return min(pause_seconds, _MAX_PAUSE_SECONDS)

    @property
    def expires_at(self) -> float:
        return self.last_at + max(_MIN_LIFETIME_SECONDS, 2 * self.pause_seconds)


class CrashLedger:
    """
    Record crashes of replicas, and judge the requests that ran there.

    Explanation
    -----------
    A crash falls on every request that was in flight at the replica. One that
    met two crashes runs only in trials: one at a time, after pauses that grow.
    A trial that gets a response clears the request, so coincidences delay a
    request but never exclude it. A crash is attributed to none but the
    request with more crashes if that one has three or more.

    Entries expire, and their number is bounded; those with the fewest crashes
    are evicted first.

    Parameters
    ----------
    max_entries : int, optional
        Largest number of requests.

    Examples
    --------
    >>> ledger = CrashLedger()
    >>> ledger.add_crash('a', 'r1@0', at=0)
    >>> ledger.judge('a', now=0).state.value
    'suspect'
    >>> ledger.add_crash('a', 'r2@0', at=0)
    >>> ledger.judge('a', now=0).state.value, ledger.judge('a', now=0).retry_at
    ('quarantined', 1)

    """

    def __init__(self, max_entries: int = _MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._entries: dict[str, _Entry] = {}
        # The requests that were in flight at each process that crashed.
        self._in_flight: dict[str, set[str]] = {}
        # The requests with enough crashes to explain those of others.
        self._explaining: set[str] = set()

    def __len__(self) -> int:
        """Return the number of requests with evidence."""
        return len(self._entries)

    def __contains__(self, digest: object) -> bool:
        """Return whether there is evidence of a request."""
        return digest in self._entries

    def add_crash(self, digest: str, process: str, at: float) -> None:
        """
        Record that a process crashed while it ran a request.

        Parameters
        ----------
        digest : str
            Digest of the request.
        process : str
            Identifies the process; a crash that is known changes nothing.
        at : float
            Time in seconds.

        """
        entry = self._open(digest)
        entry.crashes.setdefault(process, at)
        self._in_flight.setdefault(process, set()).add(digest)
        if len(entry.crashes) >= _PROOF_CRASHES:
            self._explaining.add(digest)

    def add_trial(self, digest: str, number: int, at: float) -> None:
        """Record that a trial of a request began."""
        self._open(digest).trials.setdefault(number, at)

    def remove_crash(self, digest: str, process: str) -> None:
        """Withdraw a crash under a request."""
        entry = self._entries.get(digest)
        if entry is not None:
            entry.crashes.pop(process, None)
            self._leave_process(digest, process)
            if len(entry.crashes) < _PROOF_CRASHES:
                self._explaining.discard(digest)
            if entry.is_empty:
                self._entries.pop(digest)

    def remove_trial(self, digest: str, number: int) -> None:
        """Withdraw a trial of a request."""
        entry = self._entries.get(digest)
        if entry is not None:
            entry.trials.pop(number, None)
            if entry.is_empty:
                self._entries.pop(digest)

    def clear(self, digest: str) -> None:
        """Withdraw all evidence of a request."""
        self._explaining.discard(digest)
        entry = self._entries.pop(digest, None)
        if entry is not None:
            for process in entry.crashes:
                self._leave_process(digest, process)

    def find_evidence(self, digest: str) -> Evidence:
        """Return the crashes and trials of a request."""
        entry = self._entries.get(digest, _Entry())
        return Evidence(tuple(entry.crashes), tuple(entry.trials))

    def list_affected(self, digest: str) -> Collection[str]:
        """
        Return the requests whose verdicts may change with one request.

        These are the request itself, and once it can explain crashes those
        that shared a replica with it.
        """
        entry = self._entries.get(digest, _Entry())
        affected = {digest}
        if len(entry.crashes) + 1 >= _PROOF_CRASHES:
            affected.update(
                *(self._in_flight[process] for process in entry.crashes)
            )
        return affected

    def list_expired(self, now: float) -> list[str]:
        """Return the requests whose evidence has expired."""
        return [
            digest
            for digest, entry in self._entries.items()
            if entry.expires_at <= now
        ]

    def judge(self, digest: str, now: float) -> Verdict:
        """
        Return the verdict on a request.

        Parameters
        ----------
        digest : str
            Digest of the request.
        now : float
            Present time in seconds.

        """
        entry = self._entries.get(digest)
        if entry is None or entry.expires_at <= now:
            return CLEAR
        crashes = sum(1 for _ in self._list_attributed(entry))
        if not crashes:
            return CLEAR
        since = min(entry.crashes.values())
        trials = len(entry.trials)
        if crashes < QUARANTINE_CRASHES:
            return Verdict(RequestState.suspect, 0, crashes, trials, since)
        retry_at = entry.last_at + entry.pause_seconds
        return Verdict(
            RequestState.quarantined, retry_at, crashes, trials, since
        )

    def _list_attributed(self, entry: _Entry) -> Iterator[str]:
        explaining = [
            self._entries[other].crashes
            for other in self._explaining
            if self._count_crashes(other) > len(entry.crashes)
        ]
        for process in entry.crashes:
            if not any(process in crashes for crashes in explaining):
                yield process

    def _open(self, digest: str) -> _Entry:
        if digest not in self._entries:
            if len(self._entries) >= self._max_entries:
                # The oldest of the requests with the fewest crashes.
                self.clear(min(self._entries, key=self._count_crashes))
            self._entries[digest] = _Entry()
        return self._entries[digest]

    def _count_crashes(self, digest: str) -> int:
        return len(self._entries[digest].crashes)

    def _leave_process(self, digest: str, process: str) -> None:
        requests = self._in_flight.get(process, set())
        requests.discard(digest)
        if not requests:
            self._in_flight.pop(process, None)
