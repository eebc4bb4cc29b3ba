"""
Invalid requests of trainers.

They get typed errors, run nothing, and leave open steps as they are.
"""

from typing import Any

import aiohttp
import msgspec

from ladder_standins.fleet import EngineLayout, Layout, NodeLayout
from ladder_standins.trainer import StepRequest, Trainer

SECRET = 'test-secret'
HEADERS = {'authorization': f'Bearer {SECRET}'}
LAYOUT = Layout(
    nodes=(NodeLayout('node-1', 'leith', 'lowlands'),),
    engines=(EngineLayout('engine-1', 'leith', 'lowlands'),),
    services=0,
)
BODY = {
    'model': 'cask',
    'prompts': ['a'],
    'samples_per_group': 2,
    'max_tokens': 32,
}
WRONG_HEADERS = {'authorization': 'Bearer wrong'}
STEP = '/cask-notes/steps/7'

# Path, body and headers, then the expected status and kind of the error. For
# pulls the path is fixed.
BAD_OPENINGS: tuple[Any, ...] = (
    (STEP, b'{"model":', HEADERS, 400, 'bad-request'),
    (STEP, {**BODY, 'prompts': 'a'}, HEADERS, 400, 'bad-request'),
    (STEP, {**BODY, 'prompts': []}, HEADERS, 400, 'bad-request'),
    (STEP, {**BODY, 'speed': 1}, HEADERS, 400, 'bad-request'),
    (STEP, {**BODY, 'samples_per_group': '2'}, HEADERS, 400, 'bad-request'),
    (STEP, {**BODY, 'max_tokens': 0}, HEADERS, 400, 'bad-request'),
    (STEP, {**BODY, 'model': 'other'}, HEADERS, 403, 'forbidden'),
    (
        STEP,
        {**BODY, 'prompts': ['a' for _ in range(4000)]},
        HEADERS,
        413,
        'too-large',
    ),
    (STEP, b' ' * 9_000_000, HEADERS, 413, 'too-large'),
    (STEP, BODY, WRONG_HEADERS, 401, 'unauthorized'),
    (STEP, BODY, {}, 401, 'unauthorized'),
    ('/nobody/steps/7', BODY, HEADERS, 403, 'forbidden'),
    (f'/cask-notes/steps/{1 << 70}', BODY, HEADERS, 400, 'bad-request'),
)
BAD_PULLS: tuple[Any, ...] = (
    (b'[', HEADERS, 400, 'bad-request'),
    ({'version': -1}, HEADERS, 400, 'bad-request'),
    ({'version': 1 << 70}, HEADERS, 400, 'bad-request'),
    ({'version': '1'}, HEADERS, 400, 'bad-request'),
    ({'version': 0, 'held': '-1'}, HEADERS, 400, 'bad-request'),
    ({'version': 0, 'held': 'f' * 100_000}, HEADERS, 400, 'bad-request'),
    ({'version': 0, 'held': '2'}, HEADERS, 400, 'bad-request'),
    ({'version': 0, 'wait_seconds': 3600}, HEADERS, 400, 'bad-request'),
    ({'version': 0}, WRONG_HEADERS, 401, 'unauthorized'),
)


def encode(body):
    return body if isinstance(body, bytes) else msgspec.json.encode(body)


class Client:
    """Send requests of a trainer and check the errors."""

    def __init__(self, session, address):
        self.session = session
        self.base = f'http://{address}/v1/trainers'

    async def send(self, method, path, body, headers=HEADERS):
        async with self.session.request(
            method,
            self.base + path,
            data=encode(body),
            headers=headers,
        ) as response:
            return response.status, msgspec.json.decode(await response.read())

    async def assert_refused(self, method, path, body, headers, status, kind):
        received_status, problem = await self.send(method, path, body, headers)
        assert (received_status, problem['type']) == (
            status,
            f'urn:kumquatladder:{kind}',
        )
        assert problem['execution'] == 'not-run'
        assert problem['remedy']


def has_executed(fleet):
    record = fleet.find_record_path('engine-1')
    return record.exists() and 'executed' in record.read_text()


async def test_bad_input_is_refused_with_a_remedy_and_runs_nothing(start_fleet):
    async with start_fleet(LAYOUT) as fleet, aiohttp.ClientSession() as session:
        client = Client(session, fleet.processes.find_address('node-1'))
        for path, body, headers, status, kind in BAD_OPENINGS:
            await client.assert_refused(
                'PUT', path, body, headers, status, kind
            )
        await client.assert_refused(
            'POST',
            f'{STEP}/pull',
            {'version': 0},
            HEADERS,
            404,
            'unknown-name',
        )
        assert not has_executed(fleet)


async def test_bad_input_to_an_open_step_loses_nothing(start_fleet):
    async with start_fleet(LAYOUT) as fleet, aiohttp.ClientSession() as session:
        address = fleet.processes.find_address('node-1')
        client = Client(session, address)
        assert (await client.send('PUT', STEP, BODY))[0] == 201
        assert (await client.send('PUT', STEP, BODY))[0] == 201
        other = {**BODY, 'prompts': ['b']}
        await client.assert_refused(
            'PUT', STEP, other, HEADERS, 409, 'step-contents'
        )
        for body, headers, status, kind in BAD_PULLS:
            path = f'{STEP}/pull'
            await client.assert_refused(
                'POST', path, body, headers, status, kind
            )
        trainer = Trainer('cask-notes', SECRET, [address], 1)
        report = await trainer.run_step(
            StepRequest(7, 0, 'cask', ('a',), 2, 32),
        )
        assert report.has_all_groups
        assert report.doubled == report.too_old == 0
        await trainer.close_step(7)
        await client.assert_refused(
            'PUT', STEP, BODY, HEADERS, 409, 'step-closed'
        )
        await client.assert_refused(
            'POST',
            f'{STEP}/pull',
            {'version': 0},
            HEADERS,
            409,
            'step-closed',
        )
