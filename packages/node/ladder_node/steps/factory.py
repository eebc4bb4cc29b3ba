"""Create the runners of steps."""

from ladder_core.timeline import Timeline
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
    Create runners that use the node's dispatchers.

    Parameters
    ----------
    generations : GenerationDispatcher
        Sends generations to engines.
    services : ServiceDispatcher
        Sends finished texts to scorers.
    capacity : StepCapacity
        Counts the batch slots that bound the samples in flight.
    timers : TimerService
        Clock, delays and periodic callbacks.
    timeline : Timeline
        Records the events of steps for operators.
    policy : StragglerPolicy, optional
        Chooses the samples to hedge; by default `HedgePolicy`.

    """

    def __init__(
        self,
        generations: GenerationDispatcher,
        services: ServiceDispatcher,
        capacity: StepCapacity,
        timers: TimerService,
        timeline: Timeline,
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
        Create the runner of one step without starting it.

        Parameters
        ----------
        spec : StepSpec
            Prompts and sizes of the step.
        allowance : Allowance
            Models, pools and data centres that the plan may use.

        Returns
        -------
        StepRunner
            Runner of the step, not started.

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
