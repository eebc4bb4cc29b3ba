"""A guard that runs requests which crash replicas in few trials only."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Collection
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import prometheus_client

from ladder_core.errors import NotRunError, QuarantinedRequestError
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Replica
from ladder_node.quarantine.base import RunGuard
from ladder_node.quarantine.beliefs import RequestBeliefs
from ladder_node.quarantine.detector import CrashDetector, CrashListener
from ladder_node.quarantine.rows import CrashRows
from ladder_policy.quarantine import (
    QUARANTINE_CRASHES,
    RequestState,
    Verdict,
)

# Time after which a trial that could not be claimed may be claimed again.
_CLAIM_RETRY_SECONDS = 1

_refused_counter = prometheus_client.Counter(
    'ladder_quarantined_requests_total',
    'Runs of quarantined requests, by whether a trial was admitted',
    ('outcome',),
)


class QuarantineGuard(RunGuard, CrashListener):
    """
    Refuse requests that crash replicas, except for a few trials.

    Explanation
    -----------
    The evidence counts over all attempts of a request and over all nodes. A
    quarantined request runs only in trials, one at a time in the whole
    deployment. A complete response clears the request. A trial that ends
    without an outcome, because it was cancelled or the replica did not run
    it, does not count.

    Parameters
    ----------
    detector : CrashDetector
        Detects crashes of replicas.
    beliefs : RequestBeliefs
        What this node believes of requests.
    rows : CrashRows
        Shares evidence with the other nodes, and claims trials.
    node : str
        Name of this node.
    timers : TimerService
        Clock of the trials.
    timeline : Timeline
        Records trials and refusals.

    """

    def __init__(
        self,
        detector: CrashDetector,
        beliefs: RequestBeliefs,
        rows: CrashRows,
        node: str,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._detector = detector
        self._beliefs = beliefs
        self._rows = rows
        self._node = node
        self._timers = timers
        self._timeline = timeline
        self._suspects: Counter[str] = Counter()
        # Trials of this node that have been claimed but not begun.
        self._claimed: dict[str, int] = {}
        detector.subscribe(self)

    async def admit(self, digest: str) -> None:
        """Return if the request is not quarantined, or has its trial now."""
        await self._settle(digest)
        verdict = self._beliefs.judge(digest)
        if verdict.state is not RequestState.quarantined:
            return
        if digest in self._claimed:
            return
        wait_seconds = verdict.retry_at - self._timers.now()
        if wait_seconds <= 0:
            if await self._rows.claim_trial(digest, verdict.trials):
                self._begin_trial(digest, verdict)
                return
            wait_seconds = _CLAIM_RETRY_SECONDS
        _refused_counter.labels('refused').inc()
        raise QuarantinedRequestError(
            f'{verdict.crashes} replicas have crashed under the request',
            remedy='change the request, or send it again later',
            retry_after=round(wait_seconds, 3),
        )

    def release(self, digest: str) -> None:
        """Void the trial of a request that no replica has run."""
        trial = self._claimed.pop(digest, None)
        if trial is not None:
            self._rows.void_trial(digest, trial)

    def find_wait(self, digest: str) -> float:
        """Return the seconds until the request may run; zero for now."""
        return max(self._beliefs.judge(digest).retry_at - self._timers.now(), 0)

    def find_state(self, digest: str) -> RequestState:
        """Return what is believed of a request."""
        return self._beliefs.judge(digest).state

    def list_occupied(self) -> Collection[str]:
        """Return the replicas at which this node runs suspects."""
        return tuple(self._suspects)

    def watch(
        self, digest: str, replica: Replica
    ) -> AbstractAsyncContextManager[None]:
        """Watch whether the process of the replica crashes."""
        return self._watch(digest, replica)

    def record_crash(self, digest: str, process: str) -> None:
        """Add a crash that this node has observed to the evidence."""
        self._beliefs.add_crash(digest, process, 0, self._node)
        self._rows.publish_crash(digest, process)

    def record_response(self, digest: str) -> None:
        """Clear a request that has run to its end."""
        if digest not in self._beliefs:
            return
        self._rows.withdraw(digest, self._beliefs.find_evidence(digest))
        self._beliefs.clear(digest, self._node)

    @asynccontextmanager
    async def _watch(
        self, digest: str, replica: Replica
    ) -> AsyncIterator[None]:
        trial = self._claimed.pop(digest, None)
        is_suspect = digest in self._beliefs
        if is_suspect:
            self._suspects[replica.name] += 1
        try:
            async with self._detector.watch(digest, replica):
                yield
        except NotRunError:
            # The next replica may run the request in the same trial.
            if trial is not None:
                self._claimed[digest] = trial
            raise
        except asyncio.CancelledError:
            if trial is not None:
                self._rows.void_trial(digest, trial)
            raise
        finally:
            if is_suspect:
                self._release(replica.name)

    def _release(self, name: str) -> None:
        self._suspects[name] -= 1
        if not self._suspects[name]:
            self._suspects.pop(name)

    async def _settle(self, digest: str) -> None:
        """Wait for probes if the request could be quarantined by them."""
        broken = self._detector.count_broken(digest)
        crashes = self._beliefs.judge(digest).crashes
        if broken and broken + crashes >= QUARANTINE_CRASHES:
            await self._detector.settle(digest)

    def _begin_trial(self, digest: str, verdict: Verdict) -> None:
        self._beliefs.add_trial(digest, verdict.trials, 0)
        self._claimed[digest] = verdict.trials
        _refused_counter.labels('tried').inc()
        self._timeline.record(
            'request-tried',
            digest,
            trial=verdict.trials + 1,
            crashes=verdict.crashes,
            age=round(self._timers.now() - verdict.since, 3),
        )
