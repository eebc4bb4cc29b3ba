import asyncio
import gc

import msgspec

from ladder_clients.engines import GenerateRequest
from ladder_standins.engine.app import make_engine
from ladder_standins.engine.settings import EngineSettings
from ladder_standins.records import RecordWriter

PATH = '/v1/generate'


async def leave_during_a_chunk(app, request_id):
    """Stream a generation and disconnect while a chunk is being sent."""
    generation = GenerateRequest(
        request_id, 'm', f'{request_id} [length=64]', 64
    )
    body = msgspec.json.encode(generation)
    has_left = asyncio.Event()
    messages = iter([{'type': 'http.request', 'body': body}])

    async def receive():
        message = next(messages, None)
        if message is None:
            await has_left.wait()
            return {'type': 'http.disconnect'}
        return message

    async def send(message):
        if message.get('body'):
            has_left.set()
            await asyncio.Event().wait()

    scope = {'type': 'http', 'method': 'POST', 'path': PATH, 'headers': []}
    await app(scope, receive, send)


async def test_abandoned_streams_free_their_slots_without_garbage_collection():
    settings = EngineSettings('e', 'm', '', batch_limit=2)
    app = make_engine(settings, RecordWriter(None))
    gc.disable()
    try:
        async with asyncio.timeout(10):
            for number in range(5):
                await leave_during_a_chunk(app, f'r{number}')
    finally:
        gc.enable()
