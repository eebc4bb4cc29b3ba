import asyncio

import msgspec
import pytest

from ladder_standins.network import NetworkMiddleware, NetworkSettings, Traffic


async def _app(scope, receive, send):
    await receive()
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': b'12345'})


async def _ask(middleware, path, origin='', method='GET', body=b''):
    sent = []

    async def receive():
        return {'type': 'http.request', 'body': body, 'more_body': False}

    async def send(message):
        sent.append(message)

    headers = [(b'x-origin', origin.encode())]
    scope = {
        'type': 'http',
        'path': path,
        'method': method,
        'headers': headers,
    }
    await middleware(scope, receive, send)
    return sent[-1]['body']


async def _read_link_bytes(middleware):
    body = await _ask(middleware, '/network')
    return msgspec.json.decode(body, type=Traffic).link_bytes


async def test_only_other_regions_use_the_link():
    middleware = NetworkMiddleware(_app)
    network = msgspec.json.encode(NetworkSettings('lowlands', 'leith'))
    await _ask(middleware, '/network', method='PUT', body=network)
    await _ask(middleware, '/v1/state', 'lowlands/govan', body=b'123')
    assert await _read_link_bytes(middleware) == 0
    await _ask(middleware, '/v1/state', 'highlands/inverness', body=b'123')
    assert await _read_link_bytes(middleware) == 8


async def test_cut_link_is_silent_to_other_regions_alone():
    middleware = NetworkMiddleware(_app)
    network = NetworkSettings('lowlands', 'leith', is_cut=True)
    body = msgspec.json.encode(network)
    await _ask(middleware, '/network', method='PUT', body=body)
    assert await _ask(middleware, '/', 'lowlands/govan') == b'12345'
    distant_request = asyncio.create_task(
        _ask(middleware, '/', 'highlands/inverness')
    )
    done, _ = await asyncio.wait({distant_request}, timeout=0.05)
    assert not done
    distant_request.cancel()
    with pytest.raises(asyncio.CancelledError):
        await distant_request
