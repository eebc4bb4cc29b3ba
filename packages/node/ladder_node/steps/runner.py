"""Run one step and answer the pulls of its trainer."""

from collections.abc import Callable, Iterable

from ladder_core.errors import LadderError, NotReadyError
from ladder_core.supervision import Component
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Group
from ladder_node.steps.capacity import BatchSlots
from ladder_node.steps.errors import PullSupersededError
from ladder_node.steps.events import StepEvents
from ladder_node.steps.handover import Handover, HeldGroups, Pull
from ladder_node.steps.monitor import StragglerMonitor
from ladder_node.steps.producer import StepProducer
from ladder_node.steps.samples import SampleProducer
from ladder_node.steps.spec import StepSpec
from ladder_policy.stragglers import StragglerPolicy

_RETRY_AFTER_SECONDS = 0.5


class StepRunner(Component):
    """
    Produce the groups of one step and hand them over.

    Parameters
    ----------
    spec : StepSpec
        Prompts and sizes of the step.
    sample_producer : SampleProducer
        Generates and scores each sample.
    count_slots : callable
        Returns the batch slots of the engines that the step may use.
    policy : StragglerPolicy
        Chooses the samples to hedge.
    timers : TimerService
        Clock, delays and periodic callbacks.
    timeline : Timeline
        Records the events of the step for operators.

    """

    def __init__(
        self,
        spec: StepSpec,
        sample_producer: SampleProducer,
        count_slots: Callable[[], BatchSlots],
        policy: StragglerPolicy,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._spec = spec
        self._timers = timers
        self._events = StepEvents(spec, timeline)
        self._producer = StepProducer(
            spec,
            sample_producer,
            StragglerMonitor(policy, count_slots, timers, self._events),
            count_slots,
            timers,
            self._events,
        )
        self._pull_count = 0
        self._pulled_at = timers.now()
        self._end_reason: LadderError | None = None

    @property
    def spec(self) -> StepSpec:
        """Contents of the step."""
        return self._spec

    @property
    def idle_seconds(self) -> float:
        """Seconds since the last pull began, or since creation."""
        return self._timers.now() - self._pulled_at

    async def start(self) -> None:
        """Start to produce all groups."""
        self._events.record_opened()
        await self._producer.start()

    async def close(self) -> None:
        """End the run on this node; waiting pulls get `NotReadyError`."""
        await self.end(
            NotReadyError(
                f'step {self._spec.name} no longer runs on this node',
                remedy='pull it at another entry host',
                retry_after=_RETRY_AFTER_SECONDS,
            ),
        )

    async def end(self, reason: LadderError) -> None:
        """
        End the run on this node.

        Parameters
        ----------
        reason : LadderError
            Error that waiting pulls and all later pulls raise.

        """
        if self._end_reason is not None:
            return
        self._end_reason = reason
        self._events.record_ended(reason)
        self._producer.changes.notify()
        await self._producer.close()

    def restore(self, groups: Iterable[Group]) -> None:
        """Add groups that an earlier run finished; call before start."""
        self._producer.restore(groups)

    def read_finished(self) -> tuple[Group, ...]:
        """Return the complete groups that the trainer is not known to hold."""
        return self._producer.list_complete_groups(
            range(len(self._spec.prompts))
        )

    async def pull(
        self, pull: Pull, get_staleness_bound: Callable[[], int]
    ) -> Handover:
        """
        Hand over the finished groups that the trainer does not hold.

        Parameters
        ----------
        pull : Pull
            Version, held groups and longest wait of the trainer.
        get_staleness_bound : callable
            Returns the plan's staleness bound in versions; read again after
            each wait, so that a changed bound takes effect at once.

        Returns
        -------
        Handover
            Groups within the bound; older samples are generated again.

        Raises
        ------
        BadRequestError
            The held groups include one that the step does not have.
        StepClosedError
            The step was closed before the pull or while it waited.
        PullSupersededError
            A later pull arrived while this one waited.
        NotReadyError
            The step no longer runs on this node.

        """
        pull.held.check_groups(len(self._spec.prompts))
        self._pull_count += 1
        self._pulled_at = self._timers.now()
        number = self._pull_count
        self._producer.changes.notify()
        self._producer.update_held(pull.held)
        deadline = self._timers.now() + pull.wait_seconds
        while True:
            self._check_pull(number)
            self._producer.guard.observe(pull.version, get_staleness_bound())
            handover = self._collect(pull.held)
            left = deadline - self._timers.now()
            if handover.groups or not handover.remaining or left <= 0:
                return handover
            await self._producer.changes.wait(left)

    def _check_pull(self, number: int) -> None:
        if self._end_reason is not None:
            raise self._end_reason
        if number != self._pull_count:
            raise PullSupersededError(
                f'a later pull of step {self._spec.name} came',
                remedy='have one pull of a step in progress at a time',
            )

    def _collect(self, held: HeldGroups) -> Handover:
        self._producer.drop_stale()
        indexes = range(len(self._spec.prompts))
        missing = [index for index in indexes if not held.has(index)]
        groups = self._producer.list_complete_groups(missing)
        failures = self._producer.list_failures(missing)
        self._events.record_handover(groups, self._producer.guard)
        remaining = len(missing) - len(groups) - len(failures)
        return Handover(groups, remaining, failures)
