"""Enter steps into the store, and find those that other nodes entered."""

import uuid
from collections import deque

from loguru import logger

from ladder_core.errors import StoreUnavailableError, UnknownNameError
from ladder_core.timeline import TimeLine
from ladder_core.values import Group
from ladder_node.steps.metrics import STEPS_TAKEN_OVER, STEPS_UNRECORDED
from ladder_node.steps.records import OpenStep, make_closed_error
from ladder_node.steps.spec import StepSpec
from ladder_node.steps.store import StepStore
from ladder_node.steps.trainer_leases import TrainerLeases

_MAX_PENDING_DELETIONS = 256


class StepCatalog:
    """
    Enter, find and close steps in the store.

    Parameters
    ----------
    store : StepStore
        Keeps rows and objects.
    trainer_leases : TrainerLeases
        Tells which node runs a trainer's steps.
    timeline : TimeLine
        Takes what happens.

    """

    def __init__(
        self,
        store: StepStore,
        trainer_leases: TrainerLeases,
        timeline: TimeLine,
    ) -> None:
        self._store = store
        self._trainer_leases = trainer_leases
        self._timeline = timeline
        self._pending_closes: dict[tuple[str, int], None] = {}
        self._pending_deletions: deque[tuple[str, OpenStep]] = deque(
            maxlen=_MAX_PENDING_DELETIONS,
        )

    @property
    def store(self) -> StepStore:
        """Keeps rows and objects."""
        return self._store

    async def record_run(
        self,
        spec: StepSpec,
        run_id: str,
        unreachable_address: str = '',
    ) -> tuple[Group, ...]:
        """
        Enter a step that this node is going to run.

        Parameters
        ----------
        spec : StepSpec
            The step.
        run_id : str
            Identifies this node's run of it.
        unreachable_address : str, optional
            Address of a node that the trainer could not reach.

        Returns
        -------
        tuple of Group
            Groups that earlier runs have finished.

        Raises
        ------
        StepClosedError
            The step's number is used up.
        StepContentsError
            The step was entered with other contents.
        StepElsewhereError
            Another node runs the trainer's steps.
        StoreUnavailableError
            The step is not entered, or it is not known to be.

        """
        record = await self._store.read_record(spec.trainer)
        record.open(spec, run_id)
        await self._trainer_leases.acquire_or_redirect(
            spec.trainer, spec.step, unreachable_address
        )
        groups: tuple[Group, ...] = ()
        opened = record.find(spec.step)
        if opened is None:
            await self._store.save_spec(spec)
        else:
            groups = await self._recover(spec, opened)
        await self._store.change_record(
            spec.trainer,
            lambda current: current.open(spec, run_id),
        )
        return groups

    async def find_spec(
        self,
        trainer: str,
        step: int,
        unreachable_address: str = '',
    ) -> StepSpec:
        """
        Return the contents of a step that this node may go on with.

        Raises
        ------
        StepClosedError
            The step is closed.
        UnknownNameError
            The step is not open, or the store can't tell.
        StepElsewhereError
            Another node runs the trainer's steps.

        """
        try:
            return await self._find_spec(trainer, step, unreachable_address)
        except StoreUnavailableError as error:
            raise UnknownNameError(
                f'step {trainer}/{step} is not open here, and the store '
                'can not tell where it is',
                remedy='open it again with the same prompts',
            ) from error

    async def close(
        self,
        trainer: str,
        step: int,
        *,
        is_running: bool,
        unreachable_address: str = '',
    ) -> None:
        """
        Use up a step's number, later if the store is out.

        Parameters
        ----------
        trainer : str
            Name of the trainer.
        step : int
            Number of the step.
        is_running : bool
            Whether it runs on this node.
        unreachable_address : str, optional
            Address of a node that the trainer could not reach.

        Raises
        ------
        StepElsewhereError
            Another node runs the trainer's steps.

        """
        try:
            if not is_running:
                await self._trainer_leases.acquire_or_redirect(
                    trainer, step, unreachable_address
                )
            await self._close(trainer, step)
        except StoreUnavailableError as error:
            logger.warning('closing {}/{}: {}', trainer, step, error)
            self._pending_closes[trainer, step] = None

    async def flush_pending(self) -> None:
        """
        Do what was put off, then remove the objects of closed steps.

        Raises
        ------
        StoreUnavailableError
            The rest stays to be done.

        """
        for trainer, step in tuple(self._pending_closes):
            await self._close(trainer, step)
            self._pending_closes.pop((trainer, step), None)
        while self._pending_deletions:
            await self._store.delete_objects(*self._pending_deletions[0])
            self._pending_deletions.popleft()

    def record_unrecorded(self, spec: StepSpec) -> None:
        """Note that a step runs without an entry in the store."""
        STEPS_UNRECORDED.inc()
        self._timeline.record('step-unrecorded', spec.name)

    async def _find_spec(
        self,
        trainer: str,
        step: int,
        unreachable_address: str,
    ) -> StepSpec:
        record = await self._store.read_record(trainer)
        if record.is_closed(step):
            raise make_closed_error(f'{trainer}/{step}')
        opened = record.find(step)
        if opened is None:
            raise UnknownNameError(
                f'step {trainer}/{step} is not open',
                remedy='open it with its prompts',
            )
        await self._trainer_leases.acquire_or_redirect(
            trainer, step, unreachable_address
        )
        return await self._store.load_spec(trainer, opened)

    async def _recover(
        self,
        spec: StepSpec,
        opened: OpenStep,
    ) -> tuple[Group, ...]:
        groups = await self._store.load_groups(spec.trainer, opened)
        STEPS_TAKEN_OVER.inc()
        self._timeline.record(
            'step-taken-over',
            spec.name,
            groups=len(groups),
            runs=len(opened.runs),
        )
        return tuple(groups.values())

    async def _close(self, trainer: str, step: int) -> None:
        record = await self._store.read_record(trainer)
        opened = record.find(step)
        await self._store.change_record(
            trainer,
            lambda current: current.close(step),
        )
        if opened is not None:
            self._pending_deletions.append((trainer, opened))


def make_run_id() -> str:
    """Return an identifier for a run of a step."""
    return uuid.uuid4().hex
