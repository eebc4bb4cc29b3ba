import aiohttp

from ladder_standins.fleet import EngineLayout, Layout, NodeLayout
from ladder_standins.trainer import StepRequest, Trainer

SECRET = 'test-secret'
HEADERS = {'authorization': f'Bearer {SECRET}'}
LAYOUT = Layout(
    nodes=(
        NodeLayout('node-1', 'leith', 'lowlands'),
        NodeLayout('node-2', 'govan', 'lowlands'),
    ),
    engines=(
        EngineLayout('engine-1', 'leith', 'lowlands'),
        EngineLayout('engine-2', 'govan', 'lowlands'),
    ),
    services=1,
)


async def request_completion(session, address, is_streaming):
    body = {
        'model': 'cask',
        'prompt': 'is the line clean [length=20]',
        'stream': is_streaming,
    }
    url = f'http://{address}/v1/completions'
    async with session.post(url, json=body, headers=HEADERS) as response:
        return response.status, await response.text()


async def test_step_completion_and_service_call_go_through_two_nodes(
    start_fleet,
):
    async with start_fleet(LAYOUT) as fleet, aiohttp.ClientSession() as session:
        addresses = [
            fleet.processes.find_address(node.name) for node in LAYOUT.nodes
        ]
        status, text = await request_completion(session, addresses[0], False)
        assert status == 200
        assert '"finish_reason":"stop"' in text
        status, events = await request_completion(session, addresses[1], True)
        assert status == 200
        assert events.endswith('data: [DONE]\n\n')
        url = f'http://{addresses[1]}/v1/services/taproom/claims'
        async with session.post(url, data=b'7', headers=HEADERS) as response:
            assert (await response.json())['body'] == '7'
        url = f'http://{addresses[0]}/v1/addresses'
        async with session.get(url) as response:
            assert set((await response.json())['addresses']) == set(addresses)
        trainer = Trainer('cask-notes', SECRET, addresses, 1)
        report = await trainer.run_step(
            StepRequest(0, 0, 'cask', ('first', 'second'), 2),
        )
        assert report.has_all_groups
        assert report.doubled == report.too_old == 0
