from typing import Any

from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import HostEntry, HostKind
from ladder_node.duties import VersionDoubtExchange
from ladder_node.targets import TargetTable

ENTRY = HostEntry('engine-1', HostKind.engine, 'a:1', 'leith', 'lowlands')


class Channel:
    """Deliver each published fact to all subscribers."""

    def __init__(self):
        self.facts = []
        self.callbacks = []

    def subscribe(self, kind, callback):
        self.callbacks.append(callback)

    def publish(self, fact):
        self.facts.append(fact)
        for callback in self.callbacks:
            callback(fact)


async def test_doubt_of_one_node_excludes_the_target_on_all_nodes():
    timers = ManualTimerService()
    channel: Any = Channel()
    tables = []
    services = []
    for name in ('node-1', 'node-2'):
        timeline = Timeline(name, HybridClock(timers))
        tables.append(TargetTable(timers, timeline))
        tables[-1].update_hosts([ENTRY])
        services.append(VersionDoubtExchange(tables[-1], channel, timers))
        await services[-1].start()
    tables[0].check_served_version('engine-1', 1, 2)
    await timers.advance(1)
    assert not tables[1].list_available(HostKind.engine)
    await timers.advance(10)
    assert len(channel.facts) == 1
    await timers.advance(10)
    assert len(tables[1].list_available(HostKind.engine)) == 1
    for service in services:
        await service.close()
