"""
Running of all open batches while this node holds the lease of the duty.

Explanation
-----------
One node assigns all slots of all engines, so it knows the free slots without
asking the engines, and can order the tasks of all trainers by urgency. If the
node fails, the next holder reads accepted batches, their ends, their results
and the saved drafts from the table; only events that were not saved are lost.
"""

import asyncio

from loguru import logger
from prometheus_client import Gauge

from ladder_clients.replicas import CONTROL_PRIORITY
from ladder_node.batches.cleaner import BatchCleaner
from ladder_node.batches.dependencies import OwnerDependencies
from ladder_node.batches.dispatcher import TaskDispatcher
from ladder_node.batches.drafts import DraftSaver
from ladder_node.batches.engines import EngineTracker
from ladder_node.batches.fence import Fence, OwnershipLostError
from ladder_node.batches.fitness import (
    HandoverCheck,
    list_batch_services,
)
from ladder_node.batches.intake import BatchIntake
from ladder_node.batches.loading import VersionLoader
from ladder_node.batches.open_batch import OpenBatch, Stage, needs_one_version
from ladder_node.batches.placement import Placement
from ladder_node.batches.registry import BatchRegistry
from ladder_node.batches.runs import TaskRuns
from ladder_node.batches.task_group import LeaseTaskGroup
from ladder_node.leases import Lease
from ladder_policy.scheduling import LoadDecision

_PLAN_INTERVAL_SECONDS = 0.1
# If the lease holder fails, the text that was generated since the last save is
# lost; usually at most this many seconds of it.
_SAVE_INTERVAL_SECONDS = 0.5
# The pause between two saves is at least this multiple of the duration of the
# last save, so that saves do not delay the writing of results.
_SAVE_LATENCY_FACTOR = 4
# Upper limit of the pause, since a save that lasted through an outage of the
# table would otherwise be followed by a pause of several times the outage. Lost
# text takes up to a whole step to generate again.
_MAX_SAVE_INTERVAL_SECONDS = 2
_CLEAN_INTERVAL_SECONDS = 30

_open_gauge = Gauge('ladder_batches_open', 'Batches that this node runs')
_tasks_gauge = Gauge('ladder_tasks', 'Tasks of open batches', ('stage',))


class OwnerSession:
    """
    All work on batches during one holding of the lease.

    Parameters
    ----------
    dependencies : OwnerDependencies
        Components of the node that running batches requires.
    lease : Lease
        Lease of the duty, valid at the start of the session.

    Attributes
    ----------
    handover : HandoverCheck
        Knows the node that should hold the duty next, if any.

    """

    def __init__(self, dependencies: OwnerDependencies, lease: Lease) -> None:
        self.handover = HandoverCheck(dependencies.fitness, dependencies.timers)
        self._dependencies = dependencies
        self._lease = lease
        self._timers = dependencies.timers
        self._fence = Fence(
            dependencies.table,
            lease,
            dependencies.node,
            dependencies.timers,
            dependencies.is_outage_shared,
        )
        self._registry = BatchRegistry(dependencies.timers)
        self._engines = EngineTracker(
            dependencies.replica_registry,
            dependencies.client,
            dependencies.capacity_mode,
        )
        self._dispatcher = TaskDispatcher(
            self._registry,
            self._engines,
            dependencies.routes,
            dependencies.timers,
        )
        self._placement = Placement(
            dependencies.versions, dependencies.timeline
        )
        self._loader = VersionLoader(
            dependencies.client,
            dependencies.timers,
            dependencies.timeline,
            dependencies.node,
            lease.epoch,
            dependencies.replica_registry.update_state,
        )
        self._saver = DraftSaver(dependencies.table, self._fence)
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """
        Run the batches until the lease is lost.

        Raises
        ------
        OwnershipLostError
            The lease is lost, so another node may run the batches, or it is
            held and should be released, since another node can run them better.

        """
        await self._fence.fence_partitions()
        listeners = (
            self._dependencies.replica_registry,
            self._dependencies.versions,
        )
        for source in listeners:
            source.add_listener(self._wake.set)
        try:
            await self._run_tasks()
        except* OwnershipLostError as lost:
            await self._save_last()
            raise OwnershipLostError(
                f'the duty ends on this node: {lost.exceptions[0]}',
                remedy='acquire the lease again',
            ) from lost
        finally:
            for source in listeners:
                source.remove_listener(self._wake.set)

    async def _run_tasks(self) -> None:
        async with asyncio.TaskGroup() as group:
            task_group = LeaseTaskGroup(group)
            runs = TaskRuns(
                self._dependencies,
                self._registry,
                self._dispatcher,
                task_group,
                self._wake.set,
            )

            def on_open(batch: OpenBatch) -> None:
                self._placement.add_batch(batch)
                runs.resume_scoring(batch)
                self._wake.set()

            intake = BatchIntake(
                self._dependencies,
                self._fence,
                self._registry,
                on_open,
                runs.cancel_batch,
            )
            task_group.spawn_essential(intake.run(task_group))
            task_group.spawn_essential(self._save_drafts())
            task_group.spawn_essential(self._clean())
            task_group.spawn_essential(self._plan(runs, task_group))
            if self._dependencies.autoscaler is not None:
                # Its end must not end the batches.
                task_group.spawn(
                    self._dependencies.autoscaler.run(
                        self._lease,
                        self._registry,
                        self._engines,
                        self._dispatcher,
                    )
                )

    async def _plan(self, runs: TaskRuns, task_group: LeaseTaskGroup) -> None:
        while True:
            self._wake.clear()
            self._fence.check()
            await self.handover.check()
            runs.give_up_expired()
            runs.move_runs()
            for service in sorted(
                list_batch_services(self._dependencies.routes.current)
            ):
                self._plan_service(service, runs, task_group)
            self._update_gauges()
            await self._wait_for_change()

    async def _save_drafts(self) -> None:
        pause_seconds: float = _SAVE_INTERVAL_SECONDS
        while True:
            await self._timers.sleep(pause_seconds)
            started_at = self._timers.now()
            await asyncio.gather(
                *(self._saver.save(batch) for batch in self._registry.batches),
            )
            self._saver.drop_closed(self._registry.batches)
            elapsed_seconds = self._timers.now() - started_at
            pause_seconds = max(
                _SAVE_INTERVAL_SECONDS, _SAVE_LATENCY_FACTOR * elapsed_seconds
            )
            pause_seconds = min(pause_seconds, _MAX_SAVE_INTERVAL_SECONDS)

    async def _save_last(self) -> None:
        """Save what was generated since the last save, for the next holder."""
        if not self._fence.is_held:
            return
        for batch in self._registry.batches:
            try:
                await self._saver.save(batch)
            except OwnershipLostError as error:
                logger.info('last texts not saved: {}', error.message)
                return

    async def _clean(self) -> None:
        cleaner = BatchCleaner(
            self._dependencies.table,
            self._dependencies.objects,
            self._dependencies.result_retention_seconds,
            self._timers,
            self._dependencies.timeline,
        )
        while True:
            await self._timers.sleep(_CLEAN_INTERVAL_SECONDS)
            await cleaner.clean()

    async def _wait_for_change(self) -> None:
        waiting = asyncio.ensure_future(self._wake.wait())
        tick = asyncio.ensure_future(self._timers.sleep(_PLAN_INTERVAL_SECONDS))
        try:
            await asyncio.wait(
                (waiting, tick),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            waiting.cancel()
            tick.cancel()

    def _plan_service(
        self, service: str, runs: TaskRuns, task_group: LeaseTaskGroup
    ) -> None:
        now = self._timers.now()
        left = self._dispatcher.dispatch(service, runs.start)
        if not self._fence.is_held:
            return
        loads = self._placement.plan(
            self._engines.list_active(service, now),
            [
                batch
                for batch in self._registry.batches
                if self._dispatcher.find_service(batch) == service
            ],
            [batch for batch, _ in left],
            self._list_one_version_models(),
            now,
        )
        for load in loads:
            self._begin_load(load, task_group)

    def _begin_load(
        self, load: LoadDecision, task_group: LeaseTaskGroup
    ) -> None:
        engine = self._engines.find(load.engine)
        if engine is None or engine.loading:
            return
        if not engine.permits(CONTROL_PRIORITY):
            return
        engine.loading = load.model
        ends_runs = load.model in self._list_one_version_models()
        task_group.spawn(self._loader.load(engine, load, ends_runs))

    def _list_one_version_models(self) -> set[str]:
        """Return the models with texts that one version has to make."""
        return {
            batch.spec.model
            for batch in self._registry.batches
            if needs_one_version(self._dispatcher.find_route(batch))
        }

    def _update_gauges(self) -> None:
        _open_gauge.set(len(self._registry.batches))
        stages = [
            task.stage
            for batch in self._registry.batches
            for task in batch.tasks.values()
        ]
        for stage in Stage:
            _tasks_gauge.labels(stage).set(stages.count(stage))
