"""
Polls of results slow down when the table is slow.

The tests guard against overload that sustains itself: when responses of the
table took seconds for a period of 10 s, polls at the usual rate and repeated
reads kept the table overloaded.
"""

import asyncio

from ladder_node.batches.tests.fakes import FakeDeployment, make_batch
from ladder_standins.memory_table import MemoryTable


class SlowTable(MemoryTable):
    def __init__(self, timers):
        super().__init__(timers)
        self.seconds = 0
        self.reads = 0

    async def scan_partition(
        self, table, part, prefix='', start='', limit=None
    ):
        self.reads += 1
        await self.timers.sleep(self.seconds)
        return await super().scan_partition(table, part, prefix, start, limit)


async def count_polls(seconds):
    deployment = FakeDeployment()
    table = SlowTable(deployment.timers)
    node = deployment.nodes['a']
    node.store._table = table
    route = node.routes.require().find_route('pub.example', '/notes/')
    assert route is not None
    await node.batch_api.accept(make_batch(), route)
    table.seconds = seconds
    task = asyncio.ensure_future(node.batch_api.read('b', 0, 1))
    while not task.done():
        await deployment.timers.advance(0.02)
    return table.reads


async def test_quick_table_is_polled_often():
    assert await count_polls(0.004) >= 6


async def test_slow_table_is_polled_rarely():
    assert await count_polls(0.3) <= 2
