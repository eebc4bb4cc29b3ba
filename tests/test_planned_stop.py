import asyncio
import contextlib
import itertools

import aiohttp

from ladder_standins.fleet import EngineLayout, Layout, NodeLayout

SECRET = 'test-secret'
HEADERS = {'authorization': f'Bearer {SECRET}'}
WAIT_SECONDS = 30
LAYOUT = Layout(
    nodes=(
        NodeLayout('node-1', 'leith', 'lowlands'),
        NodeLayout('node-2', 'govan', 'lowlands'),
    ),
    engines=(EngineLayout('engine-1', 'leith', 'lowlands'),),
    services=1,
)


class Caller:
    """
    Send requests as a client of the entry hosts, and record each failure.

    The addresses of the entry hosts and the connections are kept and reused.
    """

    def __init__(self, session, addresses):
        self._session = session
        self._addresses = list(addresses)
        self._asked_at = None
        self._keep_seconds = 0
        self._counter = itertools.count()
        self.failures = []
        self.served = 0

    async def run(self):
        while True:
            try:
                await self._call()
            except (aiohttp.ClientError, AssertionError) as error:
                self.failures.append(repr(error))
            await asyncio.sleep(0.02)

    async def _call(self):
        await self._refresh_addresses()
        address = self._addresses[next(self._counter) % len(self._addresses)]
        if next(self._counter) % 3:
            url = f'http://{address}/v1/services/taproom/claims'
            await self._post(url, data=b'7')
        else:
            body = {
                'model': 'cask',
                'prompt': 'is the line clean [length=60]',
                'stream': True,
            }
            url = f'http://{address}/v1/completions'
            text = await self._post(url, json=body)
            assert text.endswith('data: [DONE]\n\n')
        self.served += 1

    async def _post(self, url, **body):
        async with self._session.post(url, headers=HEADERS, **body) as response:
            text = await response.text()
            assert response.status == 200, text
            return text

    async def _refresh_addresses(self):
        now = asyncio.get_running_loop().time()
        if self._asked_at and now - self._asked_at < self._keep_seconds:
            return
        url = f'http://{self._addresses[0]}/v1/addresses'
        async with self._session.get(url) as response:
            addresses_response = await response.json()
        self._asked_at = now
        self._keep_seconds = addresses_response['keep_seconds']
        self._addresses = addresses_response['addresses']


async def wait_addresses(session, asked, count):
    """Wait until each asked node responds with a number of addresses."""
    async with asyncio.timeout(WAIT_SECONDS):
        for address in asked:
            url = f'http://{address}/v1/addresses'
            while True:
                async with session.get(url) as response:
                    addresses_response = await response.json()
                if len(addresses_response['addresses']) == count:
                    break
                await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def run_callers(count, session, addresses):
    callers = [Caller(session, addresses) for _ in range(count)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    try:
        yield callers
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def test_rolling_restart_of_all_nodes_fails_no_request(start_fleet):
    async with start_fleet(LAYOUT) as fleet, aiohttp.ClientSession() as session:
        names = [node.name for node in LAYOUT.nodes]
        addresses = [fleet.processes.find_address(name) for name in names]
        await wait_addresses(session, addresses, 2)
        async with run_callers(8, session, addresses) as callers:
            for name in names:
                assert await fleet.processes.stop(name) == 0
                await fleet.processes.restart(name)
                await fleet.controls.wait_for_success(name, '/readyz')
                await wait_addresses(session, addresses, 2)
        failures = [caller.failures for caller in callers if caller.failures]
        assert not failures
        assert all(caller.served for caller in callers)
