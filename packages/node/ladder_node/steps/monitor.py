"""Monitor the samples in flight and hedge stragglers."""

import contextlib
import statistics
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_core.values import Sample
from ladder_node.steps.capacity import BatchSlots
from ladder_node.steps.events import StepEvents
from ladder_node.steps.hedging import HedgedRun
from ladder_node.steps.pool import SampleKey, SamplePool
from ladder_policy.stragglers import (
    RunningSample,
    StepProgress,
    StragglerPolicy,
)

_HEDGE_INTERVAL_SECONDS = 0.25
_MAX_FINISHED_SAMPLES = 256


@dataclass(frozen=True, slots=True)
class _TrackedRun:
    hedged_run: HedgedRun
    started_at: float


class StragglerMonitor(Component):
    """
    Periodically let a policy choose the samples to hedge.

    Parameters
    ----------
    policy : StragglerPolicy
        Chooses the stragglers that get a second run.
    count_slots : callable
        Returns the batch slots of the engines that the step may use.
    timers : TimerService
        Clock, delays and periodic callbacks.
    events : StepEvents
        Records each hedged run and each one that wins.

    """

    def __init__(
        self,
        policy: StragglerPolicy,
        count_slots: Callable[[], BatchSlots],
        timers: TimerService,
        events: StepEvents,
    ) -> None:
        self._policy = policy
        self._count_slots = count_slots
        self._timers = timers
        self._events = events
        self._tracked: dict[SampleKey, _TrackedRun] = {}
        self._finished: deque[RunningSample] = deque(
            maxlen=_MAX_FINISHED_SAMPLES
        )
        self._pool: SamplePool | None = None
        self._periodic_call: PeriodicCall | None = None

    def attach_pool(self, pool: SamplePool) -> None:
        """Set the pool whose samples are monitored; call before start."""
        self._pool = pool

    async def start(self) -> None:
        """Start the periodic check for stragglers."""
        self._periodic_call = self._timers.call_periodically(
            _HEDGE_INTERVAL_SECONDS,
            self.hedge_stragglers,
        )

    async def close(self) -> None:
        """Stop the periodic check."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None

    @contextlib.contextmanager
    def track(
        self,
        key: SampleKey,
        hedged_run: HedgedRun,
    ) -> Iterator[list[Sample]]:
        """
        Count a sample as in flight while the context is open.

        Yields
        ------
        list of Sample
            Empty list to which the caller appends the finished sample.

        """
        results: list[Sample] = []
        tracked = _TrackedRun(hedged_run, self._timers.now())
        self._tracked[key] = tracked
        try:
            yield results
        finally:
            if self._tracked.get(key) is tracked:
                self._tracked.pop(key)
        self._record_finished(key, tracked, results)
        if hedged_run.is_won_by_hedge:
            self._events.record_hedge_won(key)

    async def hedge_stragglers(self) -> None:
        """Start a second run of each sample that the policy chooses."""
        if self._pool is None:
            return
        for sample in self._policy.choose(self._read_progress(self._pool)):
            key = SampleKey(sample.group, sample.index)
            self._tracked[key].hedged_run.hedge()
            self._events.record_hedged(key)

    def _record_finished(
        self,
        key: SampleKey,
        tracked: _TrackedRun,
        results: list[Sample],
    ) -> None:
        seconds = self._timers.now() - tracked.started_at
        spans = (span for sample in results for span in sample.spans)
        tokens = sum(span.tokens for span in spans)
        self._finished.append(
            RunningSample(key.group, key.index, seconds, tokens),
        )

    def _read_progress(self, pool: SamplePool) -> StepProgress:
        now = self._timers.now()
        running = tuple(
            RunningSample(
                key.group,
                key.index,
                now - tracked.started_at,
                tracked.hedged_run.tokens,
                tracked.hedged_run.runs,
            )
            for key, tracked in self._tracked.items()
        )
        busy = sum(sample.runs for sample in running)
        finished = self._finished or (RunningSample(0, 0, 0),)
        idle = self._count_slots().total - busy
        return StepProgress(
            pool.waiting,
            idle,
            statistics.median(sample.seconds for sample in finished),
            statistics.median(sample.rate for sample in finished),
            running,
        )
