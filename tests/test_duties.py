import asyncio
import signal

import msgspec

from ladder_clients.engines import EngineState
from ladder_clients.table import Row
from ladder_core.timeline import Event
from ladder_node.leases.rows import LeaseRow
from ladder_standins.engine.simulator import EngineFaults
from ladder_standins.fleet import EngineLayout, Layout, NodeLayout
from ladder_standins.trainer import StepRequest, Trainer

SECRET = 'test-secret'
NODES = (
    NodeLayout('node-1', 'leith', 'lowlands'),
    NodeLayout('node-2', 'govan', 'lowlands'),
)
ENGINES = (
    EngineLayout('engine-1', 'leith', 'lowlands'),
    EngineLayout('engine-2', 'govan', 'lowlands', checks_fencing=False),
)
LAYOUT = Layout(nodes=NODES, engines=ENGINES, services=0)
WAIT_SECONDS = 60


async def wait_until(check):
    async with asyncio.timeout(WAIT_SECONDS):
        while not await check():
            await asyncio.sleep(0.1)


async def read_states(fleet, names):
    return [
        msgspec.json.decode(
            await fleet.controls.send(name, 'GET', '/v1/state'),
            type=EngineState,
        )
        for name in names
    ]


async def wait_version(fleet, version):
    names = [engine.name for engine in ENGINES]

    async def is_loaded():
        states = await read_states(fleet, names)
        return all(state.version == version for state in states)

    await wait_until(is_loaded)


async def read_lease(fleet):
    path = '/v1/rows/leases/pool%2Fbrewmind'
    body = await fleet.controls.send('table', 'GET', path)
    row = msgspec.json.decode(body, type=Row)
    return msgspec.json.decode(row.body, type=LeaseRow)


async def read_event_kinds(fleet, node):
    body = await fleet.controls.send(node, 'GET', '/v1/timeline')
    events = msgspec.json.decode(body, type=list[Event])
    return [event.kind for event in events]


async def test_pool_of_a_paused_holder_goes_over_and_stays(start_fleet):
    async with start_fleet(LAYOUT) as fleet:
        await fleet.controls.publish('cask', 1)
        await wait_version(fleet, 1)
        first_lease = await read_lease(fleet)
        fleet.processes.send_signal(first_lease.holder, signal.SIGSTOP)
        await fleet.controls.publish('cask', 2)
        await wait_version(fleet, 2)
        fleet.processes.send_signal(first_lease.holder, signal.SIGCONT)

        async def has_noticed():
            return 'lease-lost' in await read_event_kinds(
                fleet, first_lease.holder
            )

        await wait_until(has_noticed)
        second_lease = await read_lease(fleet)
        assert second_lease.holder != first_lease.holder
        assert second_lease.epoch == first_lease.epoch + 1
        states = await read_states(fleet, ['engine-1', 'engine-2'])
        assert [state.version for state in states] == [2, 2]
        assert states[0].fencing_token == second_lease.epoch


async def test_engine_that_lies_about_its_version_is_reloaded(start_fleet):
    async with start_fleet(LAYOUT) as fleet:
        await fleet.controls.publish('cask', 1)
        await wait_version(fleet, 1)
        fault = EngineFaults(lies_about_version=True)
        await fleet.controls.send('engine-1', 'POST', '/misbehave', fault)
        await fleet.controls.publish('cask', 2)
        await wait_version(fleet, 2)
        await fleet.controls.send(
            'engine-1',
            'POST',
            '/misbehave',
            EngineFaults(),
        )
        # Gives both nodes time to read the newly reported versions.
        await asyncio.sleep(2)
        addresses = [fleet.processes.find_address('node-1')]
        trainer = Trainer('cask-notes', SECRET, addresses, 2)
        request = StepRequest(0, 2, 'cask', ('a', 'b', 'c', 'd'), 4)
        assert (await trainer.run_step(request)).has_all_groups
        assert 'version-contradicted' in await read_event_kinds(fleet, 'node-1')
        record = fleet.find_record_path('engine-1')

        async def is_reloaded():
            return record.read_text().count('"swapped"') == 3

        await wait_until(is_reloaded)
