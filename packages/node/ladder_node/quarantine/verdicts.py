"""The verdicts of a node on requests, with one log line for each change."""

import contextlib
from collections.abc import Iterator
from types import MappingProxyType

from prometheus_client import Counter, Gauge

from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_policy.quarantine import (
    CrashLedger,
    Evidence,
    RequestState,
    Verdict,
)

_EVENT_KINDS = MappingProxyType(
    {
        RequestState.clear: 'request-cleared',
        RequestState.suspect: 'request-suspected',
        RequestState.quarantined: 'request-quarantined',
    },
)

_verdicts_counter = Counter(
    'ladder_request_verdicts_total',
    'Changes of the verdicts of this node on requests, by the new verdict',
    ('verdict',),
)
_suspects_gauge = Gauge(
    'ladder_requests_with_crashes',
    'Requests under which replicas crashed, as far as this node knows',
)


class RequestVerdicts:
    """
    Record evidence in a ledger, and log each verdict that changes.

    What other nodes observe is logged only if it begins or ends a quarantine.

    Parameters
    ----------
    node : str
        Name of this node.
    timers : TimerService
        Clock of the evidence.
    timeline : Timeline
        Records each change with its evidence.

    """

    def __init__(
        self, node: str, timers: TimerService, timeline: Timeline
    ) -> None:
        self._node = node
        self._timers = timers
        self._timeline = timeline
        self._ledger = CrashLedger()

    def __contains__(self, digest: object) -> bool:
        """Return whether there is evidence of a request."""
        return digest in self._ledger

    def judge(self, digest: str) -> Verdict:
        """Return the present verdict on a request."""
        return self._ledger.judge(digest, self._timers.now())

    def add_crash(
        self, digest: str, process: str, age_seconds: float, source: str
    ) -> None:
        """
        Record a crash under a request.

        Parameters
        ----------
        digest : str
            Digest of the request.
        process : str
            Identifies the process that crashed.
        age_seconds : float
            Seconds since the crash.
        source : str
            Node that observed the crash.

        """
        at = self._timers.now() - age_seconds
        with self._log_changes(digest, source):
            self._ledger.add_crash(digest, process, at)

    def add_trial(self, digest: str, number: int, age_seconds: float) -> None:
        """Record a trial of a request that began some seconds ago."""
        at = self._timers.now() - age_seconds
        self._ledger.add_trial(digest, number, at)

    def remove_crash(self, digest: str, process: str, source: str) -> None:
        """Withdraw a crash under a request."""
        with self._log_changes(digest, source):
            self._ledger.remove_crash(digest, process)

    def remove_trial(self, digest: str, number: int) -> None:
        """Withdraw a trial of a request."""
        self._ledger.remove_trial(digest, number)

    def clear(self, digest: str, source: str) -> None:
        """Withdraw all evidence of a request."""
        with self._log_changes(digest, source):
            self._ledger.clear(digest)

    def find_evidence(self, digest: str) -> Evidence:
        """Return the crashes and trials of a request."""
        return self._ledger.find_evidence(digest)

    def drop_expired(self) -> None:
        """Forget the requests whose evidence has expired."""
        for digest in self._ledger.list_expired(self._timers.now()):
            self._ledger.clear(digest)
            self._timeline.record('request-forgotten', digest)
        _suspects_gauge.set(len(self._ledger))

    @contextlib.contextmanager
    def _log_changes(self, digest: str, source: str) -> Iterator[None]:
        """Log the verdicts that change with the evidence of one request."""
        affected = self._ledger.list_affected(digest)
        before = {one: self.judge(one) for one in affected}
        yield
        for one, verdict in before.items():
            self._log_change(one, verdict, source)
        _suspects_gauge.set(len(self._ledger))

    def _log_change(self, digest: str, before: Verdict, source: str) -> None:
        verdict = self.judge(digest)
        if verdict.state is before.state:
            return
        _verdicts_counter.labels(verdict.state).inc()
        is_quarantine = RequestState.quarantined in {
            before.state,
            verdict.state,
        }
        if source != self._node and not is_quarantine:
            return
        # A request that is clear has no evidence, so its former one is logged.
        grounds = before if verdict.state is RequestState.clear else verdict
        now = self._timers.now()
        self._timeline.record(
            _EVENT_KINDS[verdict.state],
            digest,
            source=source,
            crashes=grounds.crashes,
            trials=grounds.trials,
            age=round(now - grounds.since, 3),
            processes=','.join(self.find_evidence(digest).crashes),
            retry_in=round(max(verdict.retry_at - now, 0), 3),
        )
