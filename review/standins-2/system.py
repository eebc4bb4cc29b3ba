"""One small deployment: a store, engines, scorers and nodes."""

import asyncio
import contextlib

from lab import HOST, Node, make_config
from replicas import Replica
from store import Store


class System:
    """Start the stand-ins and the nodes; close all of them at the end."""

    def __init__(
        self,
        folder,
        nodes=3,
        engines=4,
        scorers=3,
        events=10,
        memory_mb=330,
        config=None,
        bounds=None,
    ):
        self.store = Store()
        self.engines = [
            Replica(f'i-engine{number}', 'engines', events=events)
            for number in range(engines)
        ]
        self.scorers = [
            Replica(f'i-scorer{number}', 'scorers', slots=6)
            for number in range(scorers)
        ]
        self._folder = folder
        self._count = nodes
        self._memory_mb = memory_mb
        self._bounds = bounds
        self._config = config or make_config()
        self.nodes = []

    async def __aenter__(self):
        await self.store.start()
        for replica in (*self.engines, *self.scorers):
            if replica in self.engines:
                replica.versions = {'m0': 1}
            await replica.start()
            self.store.put('servers', replica.name, replica.make_entry())
        self.store.put('op', 'config', self._config)
        self.nodes = [
            Node(
                self._folder,
                number,
                self.store.address,
                self._memory_mb,
                self._bounds,
            )
            for number in range(self._count)
        ]
        try:
            for node in self.nodes:
                await node.start()
            for node in self.nodes:
                await node.await_ready()
            # The nodes find each other, and one takes the duty.
            await asyncio.sleep(3)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            await node.kill()
        for replica in (*self.engines, *self.scorers):
            await replica.close()
        await self.store.close()

    def find_holder(self):
        """Return the name of the node that runs the batches, and its epoch."""
        row = self.store.find('leases', 'batches') or {}
        return row.get('holder', ''), row.get('epoch', 0)

    def list_runs(self, batch):
        """Return the ids of the items of a batch that reached an engine."""
        return {
            name
            for engine in self.engines
            for _, name, _ in engine.runs
            if name.startswith(batch)
        }


@contextlib.asynccontextmanager
async def watch(*coroutines):
    """Run coroutines beside the body, and cancel them at its end."""
    tasks = [asyncio.create_task(one) for one in coroutines]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


__all__ = ('HOST', 'System', 'watch')
