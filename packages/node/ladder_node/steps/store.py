"""Persistence of steps: one row per trainer, several objects per step."""

import uuid
from collections.abc import Callable

import msgspec

from ladder_clients.platform import ObjectStore
from ladder_clients.table import (
    Condition,
    StoreOutcomeUnknownError,
    TableClient,
    Transaction,
    Write,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.messages import decode_json
from ladder_core.values import Group
from ladder_node.steps.records import STEPS_TABLE, OpenStep, TrainerRecord
from ladder_node.steps.spec import StepSpec

_MAX_COMMIT_ATTEMPTS = 5
_RETRY_AFTER_SECONDS = 1

Change = Callable[[TrainerRecord], TrainerRecord]


class StepStore:
    """
    Read and write the rows and objects of steps.

    Parameters
    ----------
    table : TableClient
        Table service with one row for each trainer.
    objects : ObjectStore
        Object store with the contents and the finished groups of each open
        step.

    """

    def __init__(self, table: TableClient, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def read_record(self, trainer: str) -> TrainerRecord:
        """
        Return the record of a trainer; an empty one if it has no row.

        Raises
        ------
        StoreUnavailableError
            The table service does not answer.

        """
        _, record = await self._read(trainer)
        return record

    async def change_record(self, trainer: str, change: Change) -> None:
        """
        Change the record of a trainer by compare-and-set.

        Parameters
        ----------
        trainer : str
            Trainer whose row is changed.
        change : callable
            Returns the changed record; called again if another node wrote
            in between. An exception from it ends the change.

        Raises
        ------
        StoreUnavailableError
            The change is not confirmed; repeating it is harmless.

        """
        for _ in range(_MAX_COMMIT_ATTEMPTS):
            revision, record = await self._read(trainer)
            changed = change(record)
            if changed == record:
                return
            if await self._write(trainer, revision, changed):
                return
        raise StoreUnavailableError(
            f'the steps of {trainer} are changed by several nodes at once',
            remedy='try again',
            retry_after=_RETRY_AFTER_SECONDS,
        )

    async def save_spec(self, spec: StepSpec) -> None:
        """Store the contents of a step."""
        await self._objects.put(
            _make_object_name(spec.trainer, spec.step, 'spec'),
            msgspec.json.encode(spec),
        )

    async def load_spec(self, trainer: str, opened: OpenStep) -> StepSpec:
        """
        Return the contents of an open step.

        Raises
        ------
        StoreUnavailableError
            The contents are missing or differ, or the store did not answer.

        """
        body = await self._objects.get(
            _make_object_name(trainer, opened.step, 'spec')
        )
        if body is not None:
            spec = decode_json(body, StepSpec)
            if spec.digest == opened.digest:
                return spec
        raise StoreUnavailableError(
            f'the contents of step {trainer}/{opened.step} are not kept',
            remedy='open the step again with the same prompts',
            retry_after=_RETRY_AFTER_SECONDS,
        )

    async def save_groups(
        self,
        spec: StepSpec,
        batch: str,
        groups: tuple[Group, ...],
    ) -> None:
        """
        Store a batch of finished groups as one object.

        Parameters
        ----------
        spec : StepSpec
            Step to which the groups belong.
        batch : str
            Name of the batch: the run and the batch's number within it.
        groups : tuple of Group
            Complete groups that no earlier batch of the run contains.

        Raises
        ------
        StoreUnavailableError
            The batch may or may not be stored; storing it again is harmless.

        """
        name = _make_object_name(spec.trainer, spec.step, batch)
        await self._objects.put(name, msgspec.json.encode(groups))

    async def load_groups(
        self,
        trainer: str,
        opened: OpenStep,
    ) -> dict[int, Group]:
        """Return the groups that earlier runs of a step have stored."""
        found: dict[int, Group] = {}
        for run_id in opened.runs:
            number = 0
            while True:
                batch = await self._objects.get(
                    _make_object_name(
                        trainer, opened.step, make_batch_name(run_id, number)
                    ),
                )
                if batch is None:
                    break
                groups = decode_json(batch, tuple[Group, ...])
                found.update((group.index, group) for group in groups)
                number += 1
        return found

    async def delete_objects(self, trainer: str, opened: OpenStep) -> None:
        """Delete the contents and the groups of a step."""
        for run_id in opened.runs:
            number = 0
            while True:
                batch = make_batch_name(run_id, number)
                name = _make_object_name(trainer, opened.step, batch)
                if await self._objects.get(name) is None:
                    break
                await self._objects.delete(name)
                number += 1
        await self._objects.delete(
            _make_object_name(trainer, opened.step, 'spec')
        )

    async def _read(self, trainer: str) -> tuple[int, TrainerRecord]:
        row = await self._table.read(STEPS_TABLE, trainer)
        if row is None:
            return 0, TrainerRecord()
        return row.revision, decode_json(row.body, TrainerRecord)

    async def _write(
        self,
        trainer: str,
        revision: int,
        record: TrainerRecord,
    ) -> bool:
        body = msgspec.json.encode(record).decode()
        transaction = Transaction(
            uuid.uuid4().hex,
            (Condition(STEPS_TABLE, trainer, revision),),
            (Write(STEPS_TABLE, trainer, body),),
        )
        try:
            outcome = await self._table.commit(transaction)
        except StoreOutcomeUnknownError:
            # The next read shows whether the transaction took effect.
            return False
        return outcome.committed


def make_batch_name(run_id: str, number: int) -> str:
    """Return the name of a batch of groups within its step."""
    return f'{run_id}/{number}'


def _make_object_name(trainer: str, step: int, part: str) -> str:
    return f'steps/{trainer}/{step}/{part}'
