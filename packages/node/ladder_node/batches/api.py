"""Operations on batches that every node offers to callers."""

from prometheus_client import Counter

from ladder_clients.table import StoreOutcomeUnknownError
from ladder_core.errors import (
    ConflictError,
    LadderError,
    StoreUnavailableError,
    UnknownNameError,
)
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Route
from ladder_node.batches.records import BatchHead
from ladder_node.batches.spec import BatchSpec, TaskSpec
from ladder_node.batches.store import BatchStore, ResultPage

# Limit on the retries of a submission. Another node may reach the store while
# this node does not, so the caller gets an error early enough to try there.
_ACCEPT_TIMEOUT_SECONDS = 1
_RETRY_INTERVAL_SECONDS = 0.15
_POLL_INTERVAL_SECONDS = 0.12
# The pause between two polls is at least this multiple of the duration of the
# last poll, so that a slow table is polled less often.
_POLL_LATENCY_FACTOR = 3
_MAX_CACHED_HEADS = 512

_accepted_counter = Counter(
    'ladder_batches_accepted_total',
    'Submissions of batches by what came of them',
    ('outcome',),
)


class BatchApi:
    """
    Accept batches, return their results and end them.

    Parameters
    ----------
    store : BatchStore
        Reads and writes the rows of batches.
    timers : TimerService
        Clock for time limits and pauses.
    timeline : Timeline
        Records each submission and each end of a batch.

    """

    def __init__(
        self,
        store: BatchStore,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._store = store
        self._timers = timers
        self._timeline = timeline
        # The head of a batch never changes, so it can be cached.
        self._heads: dict[str, BatchHead] = {}

    async def accept(self, spec: BatchSpec, route: Route) -> None:
        """
        Store a batch; a batch that is already stored is accepted again.

        Raises
        ------
        StoreUnavailableError
            The batch is not stored and none of its tasks will run.
        StoreOutcomeUnknownError
            The batch may or may not be stored.
        ConflictError
            Another organisation has submitted a batch with this id.

        """
        started_at = self._timers.now()
        outcome = 'refused'
        try:
            is_new = await self._accept(spec, route)
            if not is_new and spec.organisation:
                await self._require_owner(spec)
            outcome = 'accepted' if is_new else 'repeated'
        except StoreOutcomeUnknownError:
            outcome = 'unknown'
            raise
        finally:
            _accepted_counter.labels(outcome).inc()
            self._timeline.record(
                'batch-submitted',
                spec.batch_id,
                outcome=outcome,
                step=spec.step,
                model=spec.model,
                tasks=len(spec.tasks),
                seconds=round(self._timers.now() - started_at, 3),
            )

    async def read(
        self,
        batch_id: str,
        start: int,
        wait_seconds: float,
        organisation: str = '',
    ) -> ResultPage:
        """
        Return the results from a position on.

        If there is none yet, the call polls the store until the first one is
        there, or until `wait_seconds` have passed. `organisation` is the
        name of the one that asks; empty for none.

        Raises
        ------
        UnknownNameError
            The batch does not exist, or it belongs to another organisation.
        StoreUnavailableError
            The store does not answer.

        """
        head = await self._require_head(batch_id, organisation)
        deadline = self._timers.now() + wait_seconds
        while True:
            started_at = self._timers.now()
            page = await self._store.read_results(batch_id, start, head.total)
            if page.results or start >= head.total:
                return page
            now = self._timers.now()
            pause = max(
                _POLL_INTERVAL_SECONDS,
                _POLL_LATENCY_FACTOR * (now - started_at),
            )
            if now + pause > deadline:
                return page
            await self._timers.sleep(pause)

    async def find_task(
        self, batch_id: str, task_id: str, organisation: str = ''
    ) -> TaskSpec:
        """
        Return a task of a batch that has not been ended.

        Raises
        ------
        UnknownNameError
            The batch or the task does not exist, the batch was ended, or it
            belongs to another organisation.
        StoreUnavailableError
            The store does not answer.

        """
        head = await self._require_head(batch_id, organisation)
        if await self._store.is_ended(batch_id):
            raise UnknownNameError(
                f'batch {batch_id} was ended',
                remedy='ask for tasks of an open batch',
            )
        spec = await self._store.read_spec(batch_id, head)
        for task in spec.tasks:
            if task.task_id == task_id:
                return task
        raise UnknownNameError(
            f'batch {batch_id} has no task {task_id}',
            remedy='ask for one of the tasks that were submitted',
        )

    async def end(self, batch_id: str, organisation: str = '') -> None:
        """
        End a batch; the call is idempotent.

        Raises
        ------
        UnknownNameError
            The batch does not exist, or it belongs to another organisation.
        StoreUnavailableError, StoreOutcomeUnknownError
            The store did not confirm the end of the batch.

        """
        await self._require_head(batch_id, organisation)
        await self._store.end(batch_id)
        self._timeline.record('batch-end-accepted', batch_id)

    async def _accept(self, spec: BatchSpec, route: Route) -> bool:
        """
        Store a batch, with retries up to a short time limit.

        Explanation
        -----------
        An attempt of unknown outcome may still have stored the batch, even if
        a later attempt certainly did not. An error of unknown outcome is
        therefore raised in preference to the others.

        """
        deadline = self._timers.now() + _ACCEPT_TIMEOUT_SECONDS
        errors: list[LadderError] = []
        while not errors or self._timers.now() < deadline:
            try:
                return await self._store.accept(spec, route)
            except StoreOutcomeUnknownError as error:
                errors.insert(0, error)
            except StoreUnavailableError as error:
                errors.append(error)
            await self._timers.sleep(_RETRY_INTERVAL_SECONDS)
        raise errors[0]

    async def _require_owner(self, spec: BatchSpec) -> None:
        """Raise if a stored batch belongs to another organisation."""
        try:
            await self._require_head(spec.batch_id, spec.organisation)
        except UnknownNameError as error:
            raise ConflictError(
                f'the id {spec.batch_id} is in use',
                remedy='submit the batch with another id',
            ) from error

    async def _require_head(
        self, batch_id: str, organisation: str
    ) -> BatchHead:
        """
        Return the head of a batch that an organisation may use.

        A batch of another organisation is reported like one that does not
        exist, so that ids of others can't be found out.
        """
        head = self._heads.get(batch_id)
        if head is None:
            head = await self._store.find_head(batch_id)
        if head is None or head.organisation not in {'', organisation}:
            raise UnknownNameError(
                f'there is no batch {batch_id}',
                remedy='submit it first',
            )
        if len(self._heads) >= _MAX_CACHED_HEADS:
            self._heads.pop(next(iter(self._heads)))
        self._heads[batch_id] = head
        return head
