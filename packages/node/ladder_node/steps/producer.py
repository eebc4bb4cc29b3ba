"""Produce the samples of a step and keep them for the trainer."""

from collections.abc import Callable, Iterable

from ladder_core.errors import (
    ForbiddenError,
    LadderError,
)
from ladder_core.supervision import Component
from ladder_core.timers import TimerService
from ladder_core.values import Group, Sample
from ladder_node.steps.buffer import SampleBuffer
from ladder_node.steps.capacity import BatchSlots
from ladder_node.steps.errors import StaleSampleError
from ladder_node.steps.events import StepEvents
from ladder_node.steps.handover import GroupFailure, HeldGroups
from ladder_node.steps.hedging import HedgedRun
from ladder_node.steps.monitor import StragglerMonitor
from ladder_node.steps.notifier import ChangeNotifier
from ladder_node.steps.pool import SampleKey, SamplePool
from ladder_node.steps.samples import PartialSample, SampleProducer
from ladder_node.steps.spec import StepSpec
from ladder_node.steps.staleness import StalenessGuard

_BASE_BACKOFF_SECONDS = 0.5
_MAX_BACKOFF_DOUBLINGS = 2


class StepProducer(Component):
    """
    Produce the samples of one step until the trainer holds all groups.

    Parameters
    ----------
    spec : StepSpec
        Prompts and sizes of the step.
    sample_producer : SampleProducer
        Generates and scores each sample.
    monitor : StragglerMonitor
        Hedges stragglers; started and closed with this producer.
    count_slots : callable
        Returns the batch slots of the engines that the step may use.
    timers : TimerService
        Clock, delays and periodic callbacks.
    events : StepEvents
        Records failures, stale samples and given-up groups.

    """

    def __init__(
        self,
        spec: StepSpec,
        sample_producer: SampleProducer,
        monitor: StragglerMonitor,
        count_slots: Callable[[], BatchSlots],
        timers: TimerService,
        events: StepEvents,
    ) -> None:
        self._sample_producer = sample_producer
        self._timers = timers
        self._events = events
        self._guard = StalenessGuard()
        self._buffer = SampleBuffer(len(spec.prompts), spec.samples_per_group)
        self._monitor = monitor
        self._pool = SamplePool(
            self._run_key,
            lambda: count_slots().max_in_flight,
            timers,
        )
        monitor.attach_pool(self._pool)
        self._attempts: dict[SampleKey, int] = {}
        self._failures: dict[int, LadderError] = {}
        self._changes = ChangeNotifier(timers)

    @property
    def changes(self) -> ChangeNotifier:
        """Notified when a group is complete or given up."""
        return self._changes

    @property
    def guard(self) -> StalenessGuard:
        """The staleness bound at the version that the trainer stated."""
        return self._guard

    async def start(self) -> None:
        """Start to produce all groups that are not complete."""
        self.update_held(HeldGroups())
        await self._pool.start()
        await self._monitor.start()

    async def close(self) -> None:
        """Cancel all samples in flight."""
        await self._monitor.close()
        await self._pool.close()

    def update_held(self, held: HeldGroups) -> None:
        """
        Stop work on groups that are held, and resume it on the others.

        Parameters
        ----------
        held : HeldGroups
            Groups that the trainer holds now. If a trainer has lost groups,
            they are missing here and are produced again.

        """
        for index in self._buffer.groups:
            if held.has(index):
                self._stop_group(index)
            elif index not in self._failures:
                for key in self._buffer.list_missing(index):
                    self._pool.submit(key)

    def restore(self, groups: Iterable[Group]) -> None:
        """Add groups that an earlier run finished; call before start."""
        for group in groups:
            for sample in group.samples:
                self._buffer.add(group.index, sample)

    def drop_stale(self) -> None:
        """Discard samples that are too old and generate them again."""
        for key in self._buffer.drop_stale(self._guard):
            self._record_stale(key)
            self._pool.submit(key)

    def list_complete_groups(self, indexes: Iterable[int]) -> tuple[Group, ...]:
        """Return the complete groups among the given indexes."""
        return self._buffer.list_complete(indexes)

    def list_failures(self, indexes: Iterable[int]) -> tuple[GroupFailure, ...]:
        """Return the given-up groups among the given indexes."""
        return tuple(
            GroupFailure(index, self._failures[index])
            for index in indexes
            if index in self._failures
        )

    def _stop_group(self, group: int) -> None:
        self._buffer.discard(group)
        for key in self._buffer.list_keys(group):
            self._pool.cancel(key)

    async def _run_key(self, key: SampleKey) -> None:
        try:
            sample = await self._produce(key)
        except ForbiddenError as error:
            self._failures[key.group] = error
            self._stop_group(key.group)
            self._events.record_given_up(key.group, error)
            self._changes.notify()
            return
        self._events.record_finished()
        if self._buffer.add(key.group, sample):
            self._changes.notify()

    async def _produce(self, key: SampleKey) -> Sample:
        partial = PartialSample(key, self._attempts.get(key, 0))
        failures = 0
        while True:
            try:
                return await self._run_hedged(partial)
            except ForbiddenError:
                raise
            except Exception as error:
                # Unexpected exceptions are retried too, so that a defect in
                # one sample does not end the step.
                self._record_failure(partial, error)
            failures += 1
            await self._timers.sleep(_compute_backoff(failures))

    async def _run_hedged(self, partial: PartialSample) -> Sample:
        partial.missing_in_group = len(
            self._buffer.list_missing(partial.key.group)
        )
        hedged_run = HedgedRun(
            lambda run: self._sample_producer.produce(run, self._guard),
            partial,
        )
        with self._monitor.track(partial.key, hedged_run) as results:
            sample = await hedged_run.run()
            results.append(sample)
        return sample

    def _record_failure(self, partial: PartialSample, error: Exception) -> None:
        if isinstance(error, StaleSampleError):
            self._record_stale(partial.key)
            partial.attempt = self._attempts[partial.key]
        else:
            self._events.record_failure(partial.key, error)

    def _record_stale(self, key: SampleKey) -> None:
        self._attempts[key] = self._attempts.get(key, 0) + 1
        self._events.record_stale(key, self._guard)


def _compute_backoff(failures: int) -> float:
    doublings = min(failures - 1, _MAX_BACKOFF_DOUBLINGS)
    return _BASE_BACKOFF_SECONDS * (1 << doublings)
