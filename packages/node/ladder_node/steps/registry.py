"""The steps that run on this node."""

from ladder_core.errors import UnknownNameError
from ladder_core.supervision import Service
from ladder_core.timeline import TimeLine
from ladder_core.timers import TimerService
from ladder_core.values import Allowance
from ladder_node.dispatch import GenerationDispatcher, PlainDispatcher
from ladder_node.steps.capacity import StepCapacity
from ladder_node.steps.errors import StepClosedError, StepContentsError
from ladder_node.steps.runner import StepRunner
from ladder_node.steps.sampler import SampleMaker
from ladder_node.steps.spec import StepSpec


class StepRegistry(Service):
    """
    Open, find and close steps.

    Parameters
    ----------
    generations : GenerationDispatcher
        Runs generations.
    services : PlainDispatcher
        Scores samples.
    capacity : StepCapacity
        Bounds the samples in flight.
    timers : TimerService
        Source of time.
    timeline : TimeLine
        Takes what happens to steps.

    """

    def __init__(
        self,
        generations: GenerationDispatcher,
        services: PlainDispatcher,
        capacity: StepCapacity,
        timers: TimerService,
        timeline: TimeLine,
    ) -> None:
        self._generations = generations
        self._services = services
        self._capacity = capacity
        self._timers = timers
        self._timeline = timeline
        self._runners: dict[tuple[str, int], StepRunner] = {}
        self._closed: dict[str, int] = {}

    async def start(self) -> None:
        """Do nothing: steps are opened by trainers."""

    async def close(self) -> None:
        """Close all steps."""
        while self._runners:
            _, runner = self._runners.popitem()
            await runner.close()

    async def open(self, spec: StepSpec, allowance: Allowance) -> StepRunner:
        """
        Open a step, or find it open with the same contents.

        Parameters
        ----------
        spec : StepSpec
            What to produce.
        allowance : Allowance
            What the plan may use.

        Returns
        -------
        StepRunner
            The running step.

        Raises
        ------
        StepClosedError
            The step is closed.
        StepContentsError
            The step is open with other contents.

        """
        self._check_open(spec.trainer, spec.step)
        runner = self._runners.get((spec.trainer, spec.step))
        if runner is None:
            return await self._begin(spec, allowance)
        if runner.spec.digest != spec.digest:
            raise StepContentsError(
                f'step {spec.name} is open with other prompts',
                remedy='repeat the first prompts or open another step',
            )
        return runner

    def find(self, trainer: str, step: int) -> StepRunner:
        """
        Return an open step.

        Raises
        ------
        StepClosedError
            The step is closed.
        UnknownNameError
            This node does not run the step.

        """
        runner = self._runners.get((trainer, step))
        if runner is not None:
            return runner
        self._check_open(trainer, step)
        raise UnknownNameError(
            f'step {trainer}/{step} is not open here',
            remedy='open it again with the same prompts',
        )

    async def finish(self, trainer: str, step: int) -> None:
        """Close a step; a step that is not open here is no error."""
        self._closed[trainer] = max(self._closed.get(trainer, -1), step)
        runner = self._runners.pop((trainer, step), None)
        if runner is not None:
            await runner.finish()

    def _check_open(self, trainer: str, step: int) -> None:
        if step <= self._closed.get(trainer, -1):
            raise StepClosedError(
                f'step {trainer}/{step} is closed',
                remedy='open a step with a higher number',
            )

    async def _begin(self, spec: StepSpec, allowance: Allowance) -> StepRunner:
        maker = SampleMaker(
            spec,
            allowance,
            self._generations,
            self._services,
        )
        runner = StepRunner(
            spec,
            maker,
            lambda: self._capacity.count_samples(spec.model, allowance),
            self._timers,
            self._timeline,
        )
        self._runners[spec.trainer, spec.step] = runner
        await runner.start()
        return runner
