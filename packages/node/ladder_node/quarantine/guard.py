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
from ladder_node.quarantine.base import GuardedRequest, RunGuard
from ladder_node.quarantine.detector import CrashDetector, CrashListener
from ladder_node.quarantine.rows import CrashRows
from ladder_node.quarantine.verdicts import RequestVerdicts
from ladder_policy.quarantine import (
    QUARANTINE_CRASHES,
    RequestState,
    Verdict,
)

# Time after which a caller may ask again for a trial that was not to be had.
_CLAIM_RETRY_SECONDS = 1

_admissions_counter = prometheus_client.Counter(
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
    verdicts : RequestVerdicts
        Verdicts of this node on requests.
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
        verdicts: RequestVerdicts,
        rows: CrashRows,
        node: str,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._detector = detector
        self._verdicts = verdicts
        self._rows = rows
        self._node = node
        self._timers = timers
        self._timeline = timeline
        self._suspects: Counter[str] = Counter()

    async def admit(self, request: GuardedRequest) -> None:
        """Return if the request is not quarantined, or has its trial now."""
        await self._settle(request.digest)
        verdict = self._verdicts.judge(request.digest)
        if verdict.state is not RequestState.quarantined:
            return
        if request.trial is not None:
            return
        wait_seconds = verdict.retry_at - self._timers.now()
        if wait_seconds <= 0:
            wait_seconds = await self._claim_trial(request, verdict)
        if wait_seconds > 0:
            _admissions_counter.labels('refused').inc()
            raise QuarantinedRequestError(
                f'{verdict.crashes} replicas have crashed under the request',
                remedy='change the request, or send it again later',
                retry_after=round(wait_seconds, 3),
            )

    def release(self, request: GuardedRequest) -> None:
        """Withdraw the trial of an attempt that no replica has run."""
        if request.trial is not None:
            self._rows.void_trial(request.digest, request.trial)
            request.trial = None

    def find_state(self, digest: str) -> RequestState:
        """Return the state of a request by the present verdict."""
        return self._verdicts.judge(digest).state

    def list_occupied(self) -> Collection[str]:
        """Return the replicas at which this node runs suspects."""
        return tuple(self._suspects)

    def watch(
        self, request: GuardedRequest, replica: Replica
    ) -> AbstractAsyncContextManager[None]:
        """Watch whether the process of the replica crashes."""
        return self._watch(request, replica)

    def record_crash(self, digest: str, process: str) -> None:
        """Add a crash that this node has observed to the evidence."""
        self._verdicts.add_crash(digest, process, 0, self._node)
        self._rows.publish_crash(digest, process)

    def record_response(self, digest: str) -> None:
        """Clear a request that has run to its end."""
        if digest not in self._verdicts:
            return
        self._rows.withdraw(digest, self._verdicts.find_evidence(digest))
        self._verdicts.clear(digest, self._node)

    @asynccontextmanager
    async def _watch(
        self, request: GuardedRequest, replica: Replica
    ) -> AsyncIterator[None]:
        trial = request.trial
        request.trial = None
        is_suspect = request.digest in self._verdicts
        if is_suspect:
            self._suspects[replica.name] += 1
        try:
            async with self._detector.watch(request.digest, replica, self):
                yield
        except NotRunError:
            # The next replica may run the request in the same trial.
            request.trial = trial
            raise
        except asyncio.CancelledError:
            request.trial = trial
            self.release(request)
            raise
        finally:
            if is_suspect:
                self._leave(replica.name)

    def _leave(self, name: str) -> None:
        self._suspects[name] -= 1
        if not self._suspects[name]:
            self._suspects.pop(name)

    async def _settle(self, digest: str) -> None:
        """Wait for probes if the request could be quarantined by them."""
        broken = self._detector.count_broken(digest, self)
        crashes = self._verdicts.judge(digest).crashes
        if broken and broken + crashes >= QUARANTINE_CRASHES:
            await self._detector.settle(digest, self)

    async def _claim_trial(
        self, request: GuardedRequest, verdict: Verdict
    ) -> float:
        """Claim a trial; return the seconds to wait if it is not to be made."""
        digest, number = request.digest, verdict.trials
        if not await self._rows.claim_trial(digest, number):
            return _CLAIM_RETRY_SECONDS
        # Other nodes may have reported crashes, or a response, meanwhile.
        now = self._timers.now()
        wait_seconds = self._verdicts.judge(digest).retry_at - now
        if wait_seconds > 0:
            self._rows.void_trial(digest, number)
            return wait_seconds
        self._verdicts.add_trial(digest, number, 0)
        request.trial = number
        _admissions_counter.labels('tried').inc()
        self._timeline.record(
            'request-tried',
            digest,
            trial=number + 1,
            crashes=verdict.crashes,
            age=round(now - verdict.since, 3),
        )
        return 0
