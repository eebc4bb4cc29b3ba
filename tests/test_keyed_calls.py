import asyncio

import aiohttp

from ladder_standins.fleet import Layout, NodeLayout

SECRET = 'test-secret'
LAYOUT = Layout(
    nodes=(
        NodeLayout('node-1', 'leith', 'lowlands'),
        NodeLayout('node-2', 'govan', 'lowlands'),
    ),
    services=2,
)


async def claim(session, address, key, body, seconds=0):
    headers = {'authorization': f'Bearer {SECRET}', 'idempotency-key': key}
    url = f'http://{address}/v1/services/taproom/claims?seconds={seconds}'
    async with session.post(url, data=body, headers=headers) as response:
        return response.status, await response.json(content_type=None)


async def test_repeated_claims_run_once_over_two_nodes(start_fleet):
    async with start_fleet(LAYOUT) as fleet, aiohttp.ClientSession() as session:
        first, second = (
            fleet.processes.find_address(node.name) for node in LAYOUT.nodes
        )
        status, first_answer = await claim(session, first, '"k-1"', b'7')
        assert status == 200
        status, repeated_answer = await claim(session, second, 'k-1', b'7')
        while status == 409:
            assert repeated_answer['execution'] == 'may-have-run'
            await asyncio.sleep(0.1)
            status, repeated_answer = await claim(session, second, 'k-1', b'7')
        assert (status, repeated_answer) == (200, first_answer)
        status, problem = await claim(session, second, 'k-1', b'8')
        assert (status, problem['execution']) == (422, 'not-run')
        at_once = await asyncio.gather(
            *(
                claim(session, address, 'k-2', b'7', 1)
                for address in (first, second)
            ),
        )
        assert sorted(status for status, _ in at_once) == [200, 409]
        status, problem = await claim(session, first, '', b'7')
        assert (status, problem['execution']) == (400, 'not-run')
