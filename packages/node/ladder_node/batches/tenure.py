"""
Run all open batches while this node holds the lease of the duty.

Explanation
-----------
One node gives every slot of every engine away, so it knows what is free
without asking, and compares all trainers' tasks with each other. What it
knows can be found again: accepted batches, their ends and their results lie
in the table; only texts in the making are lost with the node.
"""

import asyncio

from prometheus_client import Gauge

from ladder_core.values import RouteKind
from ladder_node.batches.book import BatchBook
from ladder_node.batches.cleaner import BatchCleaner
from ladder_node.batches.crew import Crew
from ladder_node.batches.dependencies import OwnerDependencies
from ladder_node.batches.dispatch import TaskDispatch
from ladder_node.batches.drafts import DraftSaver
from ladder_node.batches.engines import EngineTable
from ladder_node.batches.fence import Fence, OwnershipLostError
from ladder_node.batches.intake import BatchIntake
from ladder_node.batches.loading import VersionLoader
from ladder_node.batches.placement import Placement
from ladder_node.batches.runs import TaskRuns
from ladder_node.batches.work import BatchWork, Stage, needs_one_version
from ladder_node.leases import Lease
from ladder_policy.rollouts import LoadDecision

_TICK_SECONDS = 0.1
# What a holder that dies loses at most of each text.
_SAVE_SECONDS = 0.5
# Saves are this many times as far apart as the table takes for one, so that
# they do not hold up results.
_TIMES_SLOW = 4
# A table that has recovered shall not be left alone for as long as it was
# away; texts that are lost take up to a whole step to make again.
_MOST_PAUSE_SECONDS = 2
_CLEAN_SECONDS = 30

_open_gauge = Gauge('ladder_batches_open', 'Batches that this node runs')
_tasks_gauge = Gauge('ladder_tasks', 'Tasks of open batches', ('stage',))


class Tenure:
    """
    One holding of the lease.

    Parameters
    ----------
    parts : OwnerDependencies
        What the work needs.
    lease : Lease
        The lease.

    """

    def __init__(self, parts: OwnerDependencies, lease: Lease) -> None:
        self._parts = parts
        self._timers = parts.timers
        self._fence = Fence(
            parts.table,
            lease,
            parts.node,
            parts.timers,
            parts.is_outage_shared,
        )
        self._book = BatchBook(parts.timers)
        self._engines = EngineTable(parts.board)
        self._dispatch = TaskDispatch(
            self._book,
            self._engines,
            parts.routes,
            parts.timers,
        )
        self._placement = Placement(parts.versions, parts.timeline)
        self._loader = VersionLoader(
            parts.client,
            parts.timers,
            parts.timeline,
            parts.node,
            lease.epoch,
            parts.board.note_state,
        )
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """
        Work until the lease is lost.

        Raises
        ------
        OwnershipLostError
            Another node may run the batches from now on.

        """
        await self._fence.raise_all()
        listeners = (self._parts.board, self._parts.versions)
        for source in listeners:
            source.listen(self._wake.set)
        try:
            await self._work()
        except* OwnershipLostError as lost:
            raise OwnershipLostError(
                f'the duty is left: {lost.exceptions[0]}',
                remedy='seek the lease again',
            ) from lost
        finally:
            for source in listeners:
                source.forget(self._wake.set)

    async def _work(self) -> None:
        async with asyncio.TaskGroup() as group:
            crew = Crew(group)
            runs = TaskRuns(
                self._parts,
                self._book,
                self._dispatch,
                crew,
                self._wake.set,
            )

            def take(batch: BatchWork) -> None:
                self._placement.note_batch(batch)
                runs.resume_scoring(batch)
                self._wake.set()

            intake = BatchIntake(
                self._parts,
                self._fence,
                self._book,
                take,
                runs.cancel_batch,
            )
            crew.spawn(intake.run(crew))
            crew.spawn(self._save_drafts())
            crew.spawn(self._clean())
            crew.spawn(self._plan(runs, crew))

    async def _plan(self, runs: TaskRuns, crew: Crew) -> None:
        while True:
            self._wake.clear()
            self._fence.check()
            runs.give_up_expired()
            runs.move_stuck()
            for service in self._list_services():
                self._plan_service(service, runs, crew)
            self._show_gauges()
            await self._wait_for_news()

    async def _save_drafts(self) -> None:
        saver = DraftSaver(self._parts.table, self._fence)
        pause: float = _SAVE_SECONDS
        while True:
            await self._timers.sleep(pause)
            began = self._timers.now()
            await asyncio.gather(
                *(saver.save(batch) for batch in self._book.batches),
            )
            saver.forget_closed(self._book.batches)
            took = self._timers.now() - began
            pause = max(_SAVE_SECONDS, _TIMES_SLOW * took)
            pause = min(pause, _MOST_PAUSE_SECONDS)

    async def _clean(self) -> None:
        cleaner = BatchCleaner(
            self._parts.table,
            self._parts.objects,
            self._parts.keep_seconds,
            self._parts.timeline,
        )
        while True:
            await self._timers.sleep(_CLEAN_SECONDS)
            await cleaner.clean()

    async def _wait_for_news(self) -> None:
        waiting = asyncio.ensure_future(self._wake.wait())
        tick = asyncio.ensure_future(self._timers.sleep(_TICK_SECONDS))
        try:
            await asyncio.wait(
                (waiting, tick),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            waiting.cancel()
            tick.cancel()

    def _list_services(self) -> list[str]:
        table = self._parts.routes.current
        if table is None:
            return []
        services = {
            share.service
            for route in table.list_routes()
            if route.kind is RouteKind.batch
            for share in route.shares
        }
        return sorted(services)

    def _plan_service(self, service: str, runs: TaskRuns, crew: Crew) -> None:
        now = self._timers.now()
        left = self._dispatch.dispatch(service, runs.start)
        if not self._fence.is_held:
            return
        loads = self._placement.plan(
            self._engines.list_lasting(service, now),
            [
                batch
                for batch in self._book.batches
                if self._dispatch.find_service(batch) == service
            ],
            [batch for batch, _ in left],
            now,
        )
        for load in loads:
            self._begin_load(load, crew)

    def _begin_load(self, load: LoadDecision, crew: Crew) -> None:
        engine = self._engines.find(load.engine)
        if engine is None or engine.loading:
            return
        engine.loading = load.model
        ends_runs = any(
            needs_one_version(self._dispatch.find_route(batch))
            for batch in self._book.batches
            if batch.spec.model == load.model
        )
        crew.spawn(self._loader.load(engine, load, ends_runs))

    def _show_gauges(self) -> None:
        _open_gauge.set(len(self._book.batches))
        stages = [
            work.stage
            for batch in self._book.batches
            for work in batch.tasks.values()
        ]
        for stage in Stage:
            _tasks_gauge.labels(stage).set(stages.count(stage))
