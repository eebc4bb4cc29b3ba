import asyncio

import pytest

from ladder_clients.engines import Chunk, EngineClient
from ladder_core.errors import (
    Execution,
    TargetLostError,
    TargetUnavailableError,
)
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import HostEntry, HostKind
from ladder_node.dispatch import Generation, GenerationDispatcher
from ladder_node.entry.completion_stream import stream_completion
from ladder_node.targets import TargetTable
from ladder_policy.routing import RoundRobinChooser

GENERATION = Generation('m', ('',), (), 'prompt', 4)


class FakeEngines(EngineClient):
    """
    Streams three chunks for each request.

    `breaks` lists the index of the chunk at which each of the first streams
    breaks; the streams after them are complete.
    """

    def __init__(self, *breaks):
        self.breaks = list(breaks)
        self.requests = []
        self.cancelled = []

    async def generate(self, address, request):
        self.requests.append(request)
        end = self.breaks.pop(0) if self.breaks else None
        for index in range(request.prefix_tokens, 3):
            if index == end:
                raise TargetLostError('broken', remedy='none')
            await asyncio.sleep(0)
            yield Chunk(request.request_id, str(index), 1)
        yield Chunk(request.request_id, end=True, total_tokens=3)

    async def cancel(self, address, request_id):
        self.cancelled.append(request_id)

    async def read_state(self, address):
        raise NotImplementedError

    async def order(self, address, order):
        raise NotImplementedError


def make_dispatcher(engines, count=2):
    timers = ManualTimerService()
    targets = TargetTable(timers, Timeline('node', HybridClock(timers)))
    targets.update_hosts(
        HostEntry(f'e-{index}', HostKind.engine, 'a:1', 'd', 'r', model='m')
        for index in range(count)
    )
    dispatcher = GenerationDispatcher(
        targets,
        engines,
        RoundRobinChooser(),
        timers,
    )
    return dispatcher, targets


async def collect(dispatcher):
    return [chunk async for chunk in dispatcher.generate(GENERATION)]


async def test_generation_continues_on_another_engine_from_the_received_text():
    engines = FakeEngines(2)
    dispatcher, _ = make_dispatcher(engines)
    chunks = await collect(dispatcher)
    await dispatcher.close()
    assert ''.join(chunk.text for chunk in chunks) == '012'
    assert engines.requests[1].prefix == '01'
    assert engines.cancelled == [engines.requests[0].request_id]


async def test_no_engine_after_a_lost_one_is_not_a_refusal():
    engines = FakeEngines(1)
    dispatcher, _ = make_dispatcher(engines, 1)
    with pytest.raises(TargetLostError) as caught:
        await collect(dispatcher)
    assert caught.value.execution is Execution.may_have_run


async def test_no_engine_at_all_is_a_refusal():
    dispatcher, _ = make_dispatcher(FakeEngines(), 0)
    with pytest.raises(TargetUnavailableError):
        await collect(dispatcher)


async def test_abandoned_generation_is_cancelled_and_frees_its_slot():
    engines = FakeEngines()
    dispatcher, targets = make_dispatcher(engines)
    chunks = dispatcher.generate(GENERATION)
    await anext(chunks)
    assert sum(one.in_flight for one in targets.list_all(HostKind.engine)) == 1
    await chunks.aclose()
    await dispatcher.close()
    assert engines.cancelled == [engines.requests[0].request_id]
    assert sum(one.in_flight for one in targets.list_all(HostKind.engine)) == 0


async def send_events(dispatcher, receive):
    sent = []

    async def send(message):
        sent.append(message)
        if receive is leave:
            # A connection whose caller has left accepts no more data.
            await asyncio.Event().wait()

    # This reference prevents the garbage collector from closing the stream.
    chunks = dispatcher.generate(GENERATION)
    response = await stream_completion('m', chunks)
    scope = {'type': 'http', 'asgi': {'spec_version': '2.3'}}
    await response(scope, receive, send)
    return b''.join(message.get('body', b'') for message in sent)


async def stay_connected():
    await asyncio.Event().wait()


async def leave():
    return {'type': 'http.disconnect'}


async def test_cut_stream_ends_with_an_error_event():
    dispatcher, _ = make_dispatcher(FakeEngines(1), 1)
    body = await send_events(dispatcher, stay_connected)
    assert b'event: error' in body.split(b'\n\n')[-2]
    assert b'may-have-run' in body
    assert b'[DONE]' not in body


async def test_caller_who_leaves_a_stream_cancels_it_at_the_engine():
    engines = FakeEngines()
    dispatcher, targets = make_dispatcher(engines)
    await send_events(dispatcher, leave)
    await dispatcher.close()
    assert engines.cancelled == [engines.requests[0].request_id]
    assert sum(one.in_flight for one in targets.list_all(HostKind.engine)) == 0
