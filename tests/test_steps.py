"""Steps during failures of nodes and of the store, and after lost responses."""

import asyncio
import signal

import aiohttp

from ladder_standins.faults import Fault, FaultKind
from ladder_standins.fleet import EngineLayout, Layout, NodeLayout
from ladder_standins.trainer import StepRequest, Trainer

SECRET = 'test-secret'
HEADERS = {'authorization': f'Bearer {SECRET}'}
STORES = ('table', 'objects')
LAYOUT = Layout(
    nodes=(
        NodeLayout('node-1', 'leith', 'lowlands'),
        NodeLayout('node-2', 'govan', 'lowlands'),
    ),
    engines=(EngineLayout('engine-1', 'leith', 'lowlands'),),
    services=0,
)
LONG_PROMPTS = tuple(f'night {index} [length=400]' for index in range(8))


def make_trainer(fleet):
    addresses = [
        fleet.processes.find_address(node.name) for node in LAYOUT.nodes
    ]
    return Trainer('cask-notes', SECRET, addresses, 1, call_timeout_seconds=5)


def assert_complete(report):
    assert report.has_all_groups
    assert report.doubled == report.too_old == 0


async def wait_until_generating(fleet):
    """Wait until the engine has generated tokens."""
    record = fleet.find_record_path('engine-1')
    while not record.exists() or 'generated' not in record.read_text():
        await asyncio.sleep(0.05)


async def test_step_becomes_whole_although_its_node_is_killed(start_fleet):
    async with start_fleet(LAYOUT) as fleet:
        request = StepRequest(0, 0, 'cask', LONG_PROMPTS, 2, 400)
        step = asyncio.create_task(make_trainer(fleet).run_step(request))
        await wait_until_generating(fleet)
        await fleet.processes.kill('node-1')
        assert_complete(await asyncio.wait_for(step, 60))


async def test_step_becomes_whole_although_its_node_is_frozen(start_fleet):
    async with start_fleet(LAYOUT) as fleet:
        request = StepRequest(0, 0, 'cask', LONG_PROMPTS, 2, 400)
        trainer = make_trainer(fleet)
        step = asyncio.create_task(trainer.run_step(request))
        await wait_until_generating(fleet)
        fleet.processes.send_signal('node-1', signal.SIGSTOP)
        report = await asyncio.wait_for(step, 60)
        assert_complete(report)
        fleet.processes.send_signal('node-1', signal.SIGCONT)
        await trainer.close_step(0)


async def test_step_becomes_whole_while_the_store_is_out(start_fleet):
    async with start_fleet(LAYOUT) as fleet:
        for store in STORES:
            await fleet.controls.add_fault(store, Fault(FaultKind.refuse))
        trainer = make_trainer(fleet)
        request = StepRequest(0, 0, 'cask', ('a', 'b', 'c'), 2)
        assert_complete(await asyncio.wait_for(trainer.run_step(request), 60))
        await trainer.close_step(0)
        for store in STORES:
            await fleet.controls.add_fault(store, Fault(FaultKind.clear))
        assert_complete(
            await asyncio.wait_for(
                trainer.run_step(StepRequest(1, 0, 'cask', ('d',), 2)),
                60,
            ),
        )


async def test_answer_lost_after_the_hand_over_is_given_at_another_host(
    start_fleet,
):
    async with start_fleet(LAYOUT) as fleet, aiohttp.ClientSession() as session:
        first, second = (
            fleet.processes.find_address(node.name) for node in LAYOUT.nodes
        )
        path = '/v1/trainers/cask-notes/steps/0'
        opening = {
            'model': 'cask',
            'prompts': ['a'],
            'samples_per_group': 2,
            'max_tokens': 32,
        }
        url = f'http://{first}{path}'
        async with session.put(url, json=opening, headers=HEADERS) as response:
            assert response.status == 201
        pull = {'version': 0, 'held': '', 'wait_seconds': 20}
        url = f'http://{first}{path}/pull'
        async with session.post(url, json=pull, headers=HEADERS) as response:
            # This response counts as lost, so the pull is repeated elsewhere.
            first_answer = await response.json()
        assert first_answer['remaining'] == 0
        url = f'http://{second}{path}/pull'
        async with session.post(
            url,
            json=pull,
            headers=HEADERS,
            allow_redirects=False,
        ) as response:
            assert response.status == 307
            assert response.headers['location'] == f'http://{first}{path}/pull'
        async with session.post(
            url,
            json=pull,
            headers={**HEADERS, 'x-ladder-unreachable': first},
        ) as response:
            second_answer = await response.json()
        assert [
            sample['id'] for sample in second_answer['groups'][0]['samples']
        ] == [
            'cask-notes/0/0/0',
            'cask-notes/0/0/1',
        ]
