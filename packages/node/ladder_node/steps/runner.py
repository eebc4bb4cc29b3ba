"""Run one step and answer its trainer's pulls."""

from collections.abc import Callable, Iterable

from ladder_core.errors import LadderError, NotReadyError
from ladder_core.supervision import Service
from ladder_core.timeline import TimeLine
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


class StepRunner(Service):
    """
    Run one step.

    Parameters
    ----------
    spec : StepSpec
        What to produce.
    sample_producer : SampleProducer
        Generates and scores.
    count_slots : callable
        Returns the places of the engines.
    policy : StragglerPolicy
        Decides on second runs of samples.
    timers : TimerService
        Source of time.
    timeline : TimeLine
        Takes what happens to the step.

    """

    def __init__(
        self,
        spec: StepSpec,
        sample_producer: SampleProducer,
        count_slots: Callable[[], BatchSlots],
        policy: StragglerPolicy,
        timers: TimerService,
        timeline: TimeLine,
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
        """What the step is to produce."""
        return self._spec

    @property
    def idle_seconds(self) -> float:
        """Seconds since the last pull began."""
        return self._timers.now() - self._pulled_at

    async def start(self) -> None:
        """Begin to produce all groups."""
        self._events.record_opened()
        await self._producer.start()

    async def close(self) -> None:
        """End the step here; pulls that wait are told to go elsewhere."""
        await self.end(
            NotReadyError(
                f'step {self._spec.name} no longer runs on this node',
                remedy='pull it at another entry host',
                retry_after=_RETRY_AFTER_SECONDS,
            ),
        )

    async def end(self, reason: LadderError) -> None:
        """
        End the step here.

        Parameters
        ----------
        reason : LadderError
            Raised by pulls that wait and by later ones.

        """
        if self._end_reason is not None:
            return
        self._end_reason = reason
        self._events.record_ended(reason)
        self._producer.changes.notify()
        await self._producer.close()

    def restore(self, groups: Iterable[Group]) -> None:
        """Take over groups that an earlier run finished; call before start."""
        self._producer.restore(groups)

    def read_finished(self) -> tuple[Group, ...]:
        """Return the whole groups that the trainer is not known to hold."""
        return self._producer.list_complete_groups(
            range(len(self._spec.prompts))
        )

    async def pull(
        self, pull: Pull, get_staleness_bound: Callable[[], int]
    ) -> Handover:
        """
        Hand over the finished groups that the trainer lacks.

        Parameters
        ----------
        pull : Pull
            What the trainer states.
        get_staleness_bound : callable
            Returns the plan's bound in versions as it is in force.

        Returns
        -------
        Handover
            Groups within the bound; samples beyond it are generated again.

        Raises
        ------
        BadRequestError
            The trainer states groups that the step does not have.
        StepClosedError
            The step was closed, also while the pull waited.
        PullSupersededError
            A later pull came while this one waited.
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
