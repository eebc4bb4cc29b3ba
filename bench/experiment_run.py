"""Run of an experiment: processes, trainers, callers and faults."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

import msgspec

from bench.deployments import DEPLOYMENTS
from bench.experiment import DeploymentName, Experiment, Variant
from bench.fault_injector import FaultInjector
from bench.interactive import InteractiveLoad
from bench.measures import RunMeasures, RunRecord, compute_measures
from bench.plans import write_plans
from bench.training import BenchTrainer
from bench.version_publisher import VersionPublisher
from ladder_standins.fleet import Fleet, Layout
from ladder_standins.network import NETWORK_PATH, NetworkSettings, Traffic
from ladder_standins.operator import apply_lists

_PLATFORM_SERVICES = ('table', 'objects', 'weights', 'hosts')


class ExperimentRun:
    """
    Run one variant of an experiment on one deployment.

    Parameters
    ----------
    experiment : Experiment
        Experiment that the run belongs to.
    deployment : DeploymentName
        Name of the deployment to run on.
    variant : Variant
        Policies that the nodes use.
    folder : Path
        Folder for the settings, logs and records of the processes.

    """

    def __init__(
        self,
        experiment: Experiment,
        deployment: DeploymentName,
        variant: Variant,
        folder: Path,
    ) -> None:
        self._experiment = experiment
        self._name = deployment
        self._deployment = DEPLOYMENTS[deployment]
        self._variant = variant
        self._layout = self._deployment.make_layout(
            experiment.engine_tokens_per_second * experiment.speed,
            variant.policies.model_dump(mode='json'),
        )
        self._networks = self._make_networks(self._layout)
        self._fleet = Fleet(self._layout, folder)
        self._folder = folder

    async def run(self, seed: int) -> RunMeasures:
        """Run with a seed and return the measures of the run."""
        async with self._start():
            started_at = time.monotonic()
            version_publisher = VersionPublisher(self._fleet.controls)
            trainers = self._make_trainers(version_publisher, seed)
            load = self._make_load(seed)
            await self._run_all(trainers, load, version_publisher)
            elapsed_seconds = time.monotonic() - started_at
            record = RunRecord(
                variant=self._variant.name,
                seed=seed,
                logs=tuple(trainer.log for trainer in trainers),
                load=load,
                link_bytes=await self._count_link_bytes(),
                engine_seconds=elapsed_seconds * self._deployment.engines,
            )
        return compute_measures(
            self._experiment,
            self._deployment,
            self._name.value,
            record,
        )

    @contextlib.asynccontextmanager
    async def _start(self) -> AsyncIterator[None]:
        try:
            await self._prepare()
            yield
        finally:
            await self._fleet.close()

    async def _prepare(self) -> None:
        await self._fleet.start()
        for name, network in self._networks.items():
            await self._fleet.controls.send(name, 'PUT', NETWORK_PATH, network)
        await self._apply_plans()

    async def _apply_plans(self) -> None:
        files = write_plans(self._folder, self._experiment, self._deployment)
        status = await apply_lists(self._fleet, files)
        if status:
            raise RuntimeError(
                f'kumquatladder apply failed with exit status {status}'
            )
        for node in self._layout.nodes:
            await self._fleet.controls.wait_for_success(node.name, '/readyz')

    async def _run_all(
        self,
        trainers: list[BenchTrainer],
        load: InteractiveLoad,
        version_publisher: VersionPublisher,
    ) -> None:
        injector = FaultInjector(
            self._fleet,
            self._networks,
            version_publisher,
            self._experiment.speed,
        )
        background_tasks = (
            asyncio.create_task(load.run()),
            asyncio.create_task(injector.run(self._experiment.faults)),
        )
        try:
            async with asyncio.timeout(self._experiment.limit_seconds):
                await _run_trainers(trainers)
        except TimeoutError:
            # Samples that the trainers have not received count as lost.
            return
        finally:
            for task in background_tasks:
                task.cancel()
            await asyncio.wait(background_tasks)

    def _make_trainers(
        self,
        version_publisher: VersionPublisher,
        seed: int,
    ) -> list[BenchTrainer]:
        addresses = self._list_addresses()
        trainers = []
        for number, settings in enumerate(self._experiment.trainers):
            # The first address differs, so that each trainer uses an entry
            # host of its own.
            rotated_addresses = addresses[number:] + addresses[:number]
            trainers.append(
                BenchTrainer(
                    settings,
                    rotated_addresses,
                    version_publisher,
                    seed,
                    self._experiment.speed,
                ),
            )
        return trainers

    def _make_load(self, seed: int) -> InteractiveLoad:
        return InteractiveLoad(
            self._experiment.interactive,
            self._list_addresses(),
            seed,
            self._experiment.speed,
            self._deployment.clients_ms,
        )

    def _list_addresses(self) -> list[str]:
        return [
            self._fleet.processes.find_address(node.name)
            for node in self._layout.nodes
        ]

    def _make_networks(self, layout: Layout) -> dict[str, NetworkSettings]:
        platform_location = self._deployment.places[0]
        networks = {
            name: self._deployment.make_network(
                platform_location.region, platform_location.data_centre
            )
            for name in _PLATFORM_SERVICES
        }
        for engine in layout.engines:
            networks[engine.name] = self._deployment.make_network(
                engine.region,
                engine.data_centre,
            )
        for number, node in enumerate(layout.nodes[: layout.services], 1):
            networks[f'service-{number}'] = self._deployment.make_network(
                node.region,
                node.data_centre,
            )
        networks['scorer-1'] = networks['table']
        return networks

    async def _count_link_bytes(self) -> int:
        total = 0
        for name in self._networks:
            if name in self._fleet.processes.names:
                body = await self._fleet.controls.send(
                    name,
                    'GET',
                    NETWORK_PATH,
                )
                total += msgspec.json.decode(body, type=Traffic).link_bytes
        return total


async def _run_trainers(trainers: Sequence[BenchTrainer]) -> None:
    """Run all trainers until those that are measured have ended."""
    tasks = {
        asyncio.create_task(trainer.run()): trainer.is_background
        for trainer in trainers
    }
    try:
        await asyncio.gather(
            *(
                task
                for task, is_background in tasks.items()
                if not is_background
            ),
        )
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
