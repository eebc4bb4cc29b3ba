import asyncio

import pytest

from ladder_clients.transport import (
    HttpClient,
    SilentConnectionError,
    Timeouts,
    TransportBrokenError,
    UnreachableError,
)
from ladder_core.errors import Execution
from ladder_standins.scripted import ScriptedTarget, format_response

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')


async def close_silently(request, writer):
    """Close the connection without a response to the request."""


async def stay_silent(request, writer):
    await asyncio.sleep(3600)


async def answer_half(request, writer):
    writer.write(format_response(b'whole', {'content-length': '50'}))
    await writer.drain()


async def answer_whole(request, writer):
    writer.write(format_response(request.body))
    await writer.drain()


@pytest.fixture
async def client():
    http_client = HttpClient()
    await http_client.start()
    yield http_client
    await http_client.close()


@pytest.fixture
async def start_target():
    targets = []

    async def start(script):
        target = ScriptedTarget(script)
        await target.start()
        targets.append(target)
        return target

    yield start
    for target in targets:
        await target.close()


@pytest.mark.parametrize('method', METHODS)
async def test_no_method_is_sent_twice(client, start_target, method):
    target = await start_target(close_silently)
    with pytest.raises(TransportBrokenError):
        await client.fetch(method, f'http://{target.address}/claims')
    assert len(target.received) == 1


async def test_whole_answer_is_returned(client, start_target):
    target = await start_target(answer_whole)
    url = f'http://{target.address}/claims'
    response = await client.fetch('POST', url, body=b'shift')
    assert response.body == b'shift'


async def test_refused_connection_was_not_run(client, start_target):
    target = await start_target(answer_whole)
    url = f'http://{target.address}/'
    await target.close()
    with pytest.raises(UnreachableError) as caught:
        await client.fetch('POST', url)
    assert caught.value.execution is Execution.not_run


async def test_url_that_cannot_be_sent_was_not_run(client):
    with pytest.raises(UnreachableError):
        await client.fetch('POST', 'http:///claims')


@pytest.mark.parametrize(
    ('script', 'error'),
    [
        (answer_half, TransportBrokenError),
        (stay_silent, SilentConnectionError),
    ],
)
async def test_error_after_sending_may_have_run(
    client,
    start_target,
    script,
    error,
):
    target = await start_target(script)
    with pytest.raises(error) as caught:
        await client.fetch(
            'POST',
            f'http://{target.address}/claims',
            timeouts=Timeouts(total_seconds=0.3, read_seconds=0.2),
        )
    assert caught.value.execution is Execution.may_have_run
    assert len(target.received) == 1
