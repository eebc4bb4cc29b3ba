"""Registry of the steps that run on this node."""

import asyncio
from dataclasses import dataclass

from loguru import logger

from ladder_core.errors import ConflictError, LadderError, StoreUnavailableError
from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_core.values import Allowance, Group
from ladder_node.steps.catalog import StepCatalog, make_run_id
from ladder_node.steps.errors import StepElsewhereError
from ladder_node.steps.factory import RunnerFactory
from ladder_node.steps.records import make_closed_error, make_contents_error
from ladder_node.steps.runner import StepRunner
from ladder_node.steps.saver import GroupSaver
from ladder_node.steps.spec import StepSpec
from ladder_node.steps.trainer_leases import TrainerLeases

_RECONCILE_INTERVAL_SECONDS = 3
_MAX_IDLE_SECONDS = 3600
_REDIRECTED_MAX_IDLE_SECONDS = 20
_MAX_CLOSED_STEPS = 1024

StepKey = tuple[str, int]


@dataclass(slots=True)
class RunningStep:
    """
    A step that runs on this node.

    Attributes
    ----------
    runner : StepRunner
        Produces the samples and answers pulls.
    saver : GroupSaver
        Saves the finished groups in the object store.
    is_recorded : bool
        Whether this run is recorded in the store.

    """

    runner: StepRunner
    saver: GroupSaver
    is_recorded: bool

    async def close(self) -> None:
        """Stop saving and end the run of the step on this node."""
        await self.saver.close()
        await self.runner.close()


class StepRegistry(Component):
    """
    Open, find and close steps on this node.

    Parameters
    ----------
    factory : RunnerFactory
        Creates the runner of each step.
    catalog : StepCatalog
        Records steps in the store and finds those of other nodes.
    trainer_leases : TrainerLeases
        Leases of the trainers with steps on this node; released once a
        trainer has none.
    timers : TimerService
        Clock, delays and periodic callbacks.

    """

    def __init__(
        self,
        factory: RunnerFactory,
        catalog: StepCatalog,
        trainer_leases: TrainerLeases,
        timers: TimerService,
    ) -> None:
        self._factory = factory
        self._catalog = catalog
        self._trainer_leases = trainer_leases
        self._timers = timers
        self._steps: dict[StepKey, RunningStep] = {}
        self._closed: dict[StepKey, None] = {}
        self._periodic_call: PeriodicCall | None = None

    async def start(self) -> None:
        """Start the periodic reconciliation with the store."""
        self._periodic_call = self._timers.call_periodically(
            _RECONCILE_INTERVAL_SECONDS,
            self.reconcile,
        )

    async def close(self) -> None:
        """Save finished groups and end the runs, for other nodes to resume."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None
        steps = tuple(self._steps.values())
        self._steps.clear()
        await asyncio.gather(*(step.saver.save() for step in steps))
        for step in steps:
            await step.close()

    async def open(
        self,
        spec: StepSpec,
        allowance: Allowance,
        unreachable_address: str = '',
    ) -> StepRunner:
        """
        Open a step, or return it if it is open with the same contents.

        Parameters
        ----------
        spec : StepSpec
            Prompts and sizes of the step.
        allowance : Allowance
            Models, pools and data centres that the plan may use.
        unreachable_address : str, optional
            ``ip:port`` of a node that the trainer could not reach; the
            request is not redirected to that node.

        Returns
        -------
        StepRunner
            Runner of the step on this node.

        Raises
        ------
        StepClosedError
            The step is closed.
        StepContentsError
            The step is open with other contents.
        StepElsewhereError
            Another node holds the trainer's lease and runs its steps.

        """
        runner = self._find_here(spec.trainer, spec.step)
        if runner is None:
            runner = await self._open_here(spec, allowance, unreachable_address)
        if runner.spec.digest != spec.digest:
            raise make_contents_error(spec.name)
        return runner

    async def find(
        self,
        trainer: str,
        step: int,
        allowance: Allowance,
        unreachable_address: str = '',
    ) -> StepRunner:
        """
        Return an open step; one whose node is lost is taken over here.

        Parameters
        ----------
        trainer : str
            Trainer that owns the step.
        step : int
            Number of the step within its trainer.
        allowance : Allowance
            Models, pools and data centres that the plan may use.
        unreachable_address : str, optional
            ``ip:port`` of a node that the trainer could not reach; the
            request is not redirected to that node.

        Returns
        -------
        StepRunner
            Runner of the step on this node.

        Raises
        ------
        StepClosedError
            The step is closed.
        UnknownNameError
            The step is not open, or the store did not answer.
        StepElsewhereError
            Another node holds the trainer's lease and runs its steps.

        """
        runner = self._find_here(trainer, step)
        if runner is not None:
            return runner
        spec = await self._catalog.find_spec(trainer, step, unreachable_address)
        return await self.open(spec, allowance, unreachable_address)

    async def close_step(
        self,
        trainer: str,
        step: int,
        unreachable_address: str = '',
    ) -> None:
        """
        Close a step; closing one that is not open is not an error.

        Raises
        ------
        StepElsewhereError
            Another node holds the trainer's lease and runs its steps.

        """
        running = self._steps.pop((trainer, step), None)
        if running is not None:
            self._remember_closed(trainer, step)
            await self._end(running, make_closed_error(f'{trainer}/{step}'))
        await self._catalog.close(
            trainer,
            step,
            is_running=running is not None,
            unreachable_address=unreachable_address,
        )
        self._remember_closed(trainer, step)

    async def reconcile(self) -> None:
        """Drop idle steps and align the store with the running steps."""
        for key, running in tuple(self._steps.items()):
            if running.runner.idle_seconds > _MAX_IDLE_SECONDS:
                await self._drop(key)
        try:
            await self._reconcile()
        except StoreUnavailableError as error:
            logger.warning('steps not reconciled with the store: {}', error)

    async def _reconcile(self) -> None:
        await self._catalog.flush_pending()
        for running in tuple(self._steps.values()):
            await self._reconcile_step(running)
        busy = {trainer for trainer, _ in self._steps}
        for trainer in self._trainer_leases.trainers:
            if trainer not in busy:
                await self._trainer_leases.release(trainer)

    async def _reconcile_step(self, running: RunningStep) -> None:
        spec = running.runner.spec
        key = (spec.trainer, spec.step)
        try:
            await self._confirm(running)
        except StepElsewhereError:
            # A trainer that still pulls here cannot reach the lease holder,
            # so its step is kept until the pulls stop.
            if running.runner.idle_seconds > _REDIRECTED_MAX_IDLE_SECONDS:
                await self._drop(key)
        except ConflictError as error:
            self._steps.pop(key, None)
            await self._end(running, error)

    async def _confirm(self, running: RunningStep) -> None:
        spec = running.runner.spec
        if running.is_recorded:
            await self._trainer_leases.acquire_or_redirect(
                spec.trainer, spec.step
            )
            return
        await self._catalog.record_run(spec, running.saver.run_id)
        running.is_recorded = True
        await running.saver.start()

    def _find_here(self, trainer: str, step: int) -> StepRunner | None:
        running = self._steps.get((trainer, step))
        if running is not None:
            return running.runner
        if (trainer, step) in self._closed:
            raise make_closed_error(f'{trainer}/{step}')
        return None

    async def _open_here(
        self,
        spec: StepSpec,
        allowance: Allowance,
        unreachable_address: str,
    ) -> StepRunner:
        run_id = make_run_id()
        groups: tuple[Group, ...] = ()
        is_recorded = True
        try:
            groups = await self._catalog.record_run(
                spec, run_id, unreachable_address
            )
        except StoreUnavailableError:
            is_recorded = False
        # Another request may have opened or closed the step in the meantime.
        runner = self._find_here(spec.trainer, spec.step)
        if runner is not None:
            return runner
        runner = self._factory.make(spec, allowance)
        runner.restore(groups)
        saver = GroupSaver(runner, self._catalog.store, self._timers, run_id)
        running = RunningStep(runner, saver, is_recorded)
        self._steps[spec.trainer, spec.step] = running
        await self._start(running)
        return runner

    async def _start(self, running: RunningStep) -> None:
        await running.runner.start()
        if running.is_recorded:
            await running.saver.start()
        else:
            self._catalog.report_unrecorded(running.runner.spec)

    async def _drop(self, key: StepKey) -> None:
        running = self._steps.pop(key, None)
        if running is not None:
            await running.close()

    async def _end(self, running: RunningStep, reason: LadderError) -> None:
        await running.saver.close()
        await running.runner.end(reason)

    def _remember_closed(self, trainer: str, step: int) -> None:
        self._closed[trainer, step] = None
        while len(self._closed) > _MAX_CLOSED_STEPS:
            self._closed.pop(next(iter(self._closed)))
