"""Record steps in the store and find those that other nodes recorded."""

import uuid
from collections import deque

from loguru import logger

from ladder_core.errors import StoreUnavailableError, UnknownNameError
from ladder_core.timeline import Timeline
from ladder_core.values import Group
from ladder_node.steps.metrics import STEPS_TAKEN_OVER, STEPS_UNRECORDED
from ladder_node.steps.records import OpenStep, make_closed_error
from ladder_node.steps.spec import StepSpec
from ladder_node.steps.store import StepStore
from ladder_node.steps.trainer_leases import TrainerLeases

_MAX_PENDING_DELETIONS = 256


class StepCatalog:
    """
    Record, find and close steps in the store.

    Parameters
    ----------
    store : StepStore
        Reads and writes the trainers' rows and the steps' objects.
    trainer_leases : TrainerLeases
        Leases that decide which node runs a trainer's steps.
    timeline : Timeline
        Records, for operators, take-overs and steps without a record.

    """

    def __init__(
        self,
        store: StepStore,
        trainer_leases: TrainerLeases,
        timeline: Timeline,
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
        """Store of the trainers' rows and the steps' objects."""
        return self._store

    async def record_run(
        self,
        spec: StepSpec,
        run_id: str,
        unreachable_address: str = '',
    ) -> tuple[Group, ...]:
        """
        Record in the store that this node is about to run a step.

        Parameters
        ----------
        spec : StepSpec
            Contents of the step; its digest is recorded with it.
        run_id : str
            Identifier of this node's run of the step; the groups that the
            run saves are stored under it.
        unreachable_address : str, optional
            ``ip:port`` of a node that the trainer could not reach; the
            request is not redirected to that node.

        Returns
        -------
        tuple of Group
            Groups that earlier runs of the step have saved.

        Raises
        ------
        StepClosedError
            The step was closed; its number is not used again.
        StepContentsError
            The step was opened with other contents.
        StepElsewhereError
            Another node holds the trainer's lease and runs its steps.
        StoreUnavailableError
            The record was not written, or the write was not confirmed.

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
        Return the contents of an open step that this node may take over.

        Raises
        ------
        StepClosedError
            The step is closed.
        UnknownNameError
            The step is not open, or the store did not answer.
        StepElsewhereError
            Another node holds the trainer's lease and runs its steps.

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
        Close a step in the store; if the store is unavailable, later.

        Parameters
        ----------
        trainer : str
            Trainer that owns the step.
        step : int
            Number of the step; it is not used again.
        is_running : bool
            Whether the step runs on this node, which then needs no lease to
            close it.
        unreachable_address : str, optional
            ``ip:port`` of a node that the trainer could not reach; the
            request is not redirected to that node.

        Raises
        ------
        StepElsewhereError
            Another node holds the trainer's lease and runs its steps.

        """
        try:
            if not is_running:
                await self._trainer_leases.acquire_or_redirect(
                    trainer, step, unreachable_address
                )
            await self._close(trainer, step)
        except StoreUnavailableError as error:
            logger.warning(
                'step {}/{} not closed yet: {}', trainer, step, error
            )
            self._pending_closes[trainer, step] = None

    async def flush_pending(self) -> None:
        """
        Carry out the deferred closes, then delete closed steps' objects.

        Raises
        ------
        StoreUnavailableError
            The store did not answer; the rest stays pending.

        """
        for trainer, step in tuple(self._pending_closes):
            await self._close(trainer, step)
            self._pending_closes.pop((trainer, step), None)
        while self._pending_deletions:
            await self._store.delete_objects(*self._pending_deletions[0])
            self._pending_deletions.popleft()

    def report_unrecorded(self, spec: StepSpec) -> None:
        """Report that a step runs without a record in the store."""
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
    """Return a new unique identifier for a run of a step."""
    return uuid.uuid4().hex
