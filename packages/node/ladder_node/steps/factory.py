"""Make the runners of steps."""

from ladder_core.timeline import TimeLine
from ladder_core.timers import TimerService
from ladder_core.values import Allowance
from ladder_node.dispatch import GenerationDispatcher, ServiceDispatcher
from ladder_node.steps.capacity import StepCapacity
from ladder_node.steps.runner import StepRunner
from ladder_node.steps.samples import SampleProducer
from ladder_node.steps.spec import StepSpec
from ladder_policy.stragglers import HedgePolicy, StragglerPolicy


class RunnerFactory:
    """
    Make runners over the node's dispatchers.

    Parameters
    ----------
    generations : GenerationDispatcher
        Runs generations.
    services : ServiceDispatcher
        Scores samples.
    capacity : StepCapacity
        Bounds the samples in flight.
    timers : TimerService
        Source of time.
    timeline : TimeLine
        Takes what happens to steps.
    policy : StragglerPolicy, optional
        Decides on second runs of samples.

    """

    def __init__(
        self,
        generations: GenerationDispatcher,
        services: ServiceDispatcher,
        capacity: StepCapacity,
        timers: TimerService,
        timeline: TimeLine,
        policy: StragglerPolicy | None = None,
    ) -> None:
        self._generations = generations
        self._services = services
        self._capacity = capacity
        self._timers = timers
        self._timeline = timeline
        self._policy = policy or HedgePolicy()

    def make(self, spec: StepSpec, allowance: Allowance) -> StepRunner:
        """
        Return a runner that is not started.

        Parameters
        ----------
        spec : StepSpec
            What to produce.
        allowance : Allowance
            What the plan may use.

        Returns
        -------
        StepRunner
            The runner.

        """
        sample_producer = SampleProducer(
            spec,
            allowance,
            self._generations,
            self._services,
            self._policy,
        )
        return StepRunner(
            spec,
            sample_producer,
            lambda: self._capacity.count_slots(spec.model, allowance),
            self._policy,
            self._timers,
            self._timeline,
        )
