"""Reading of the stored batches that a new holder runs on."""

import asyncio
from dataclasses import dataclass

from ladder_core.errors import StoreUnavailableError
from ladder_node.batches.dependencies import OwnerDependencies
from ladder_node.batches.drafts import load_drafts
from ladder_node.batches.fence import Fence
from ladder_node.batches.open_batch import Draft
from ladder_node.batches.records import BatchHead
from ladder_node.batches.result_writer import ResultWriter
from ladder_node.batches.spec import BatchSpec

_RETRY_INTERVAL_SECONDS = 0.25
# Batches that are read concurrently, by a few calls each. The connections to
# the table are shared with lease renewals and with requests of callers.
_MAX_CONCURRENT_READS = 4


@dataclass(frozen=True, slots=True)
class StoredBatch:
    """
    Content of the rows of a batch.

    Attributes
    ----------
    spec : BatchSpec
        The batch as the trainer submitted it.
    durable_task_ids : tuple of str
        Tasks that have a durable result.
    drafts : dict of str to Draft
        Saved texts by task.

    """

    spec: BatchSpec
    durable_task_ids: tuple[str, ...]
    drafts: dict[str, Draft]


class BatchReader:
    """
    Read stored batches, a few at a time.

    Parameters
    ----------
    dependencies : OwnerDependencies
        Components of the node, such as the table, the store and the clock.
    fence : Fence
        Ends the reading when the lease has expired.

    """

    def __init__(self, dependencies: OwnerDependencies, fence: Fence) -> None:
        self._dependencies = dependencies
        self._fence = fence
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_READS)

    async def read(
        self, batch_id: str, head: BatchHead, result_writer: ResultWriter
    ) -> StoredBatch:
        """
        Return what is stored of a batch, once the store is available.

        Raises
        ------
        OwnershipLostError
            The lease has expired.

        """
        store, table = self._dependencies.store, self._dependencies.table
        async with self._slots:
            while True:
                try:
                    durable_task_ids, spec, drafts = await asyncio.gather(
                        result_writer.load(),
                        store.read_spec(batch_id, head),
                        load_drafts(table, batch_id),
                    )
                except StoreUnavailableError as error:
                    self._dependencies.timeline.record(
                        'batch-not-read', batch_id, error=error.message
                    )
                    self._fence.check()
                    await self._dependencies.timers.sleep(
                        _RETRY_INTERVAL_SECONDS
                    )
                else:
                    return StoredBatch(spec, durable_task_ids, drafts)

    async def read_unfinished(
        self, batch_id: str, head: BatchHead
    ) -> dict[str, Draft]:
        """
        Return the drafts of a batch that has tasks without a result.

        Raises
        ------
        StoreUnavailableError
            The store does not answer.

        """
        async with self._slots:
            index = await self._dependencies.store.read_result_index(batch_id)
            if len(index.task_ids) >= head.total:
                return {}
            return await load_drafts(self._dependencies.table, batch_id)
