import asyncio

import pytest

from ladder_clients.engines.stream import LineStream
from ladder_clients.transport import SilentConnectionError

GAP_SECONDS = 0.02


class Body:
    """Fake body that delivers its parts at once and then waits for more."""

    def __init__(self, *parts):
        self.parts = list(parts)
        self.has_more = asyncio.Event()

    async def readany(self):
        if not self.parts:
            await self.has_more.wait()
        return self.parts.pop(0)


async def read(body, is_silence_expected, max_silent_gaps=3):
    stream = LineStream(body, GAP_SECONDS, is_silence_expected, max_silent_gaps)
    return [line async for line in stream.read()]


async def test_lines_are_joined_over_parts():
    async def deny(has_received):
        return False

    body = Body(b'on', b'e\ntwo\nth', b'ree\n', b'')
    assert await read(body, deny) == [b'one', b'two', b'three']


async def test_unexpected_silence_ends_the_stream():
    checks = []

    async def deny(has_received):
        checks.append(has_received)
        return False

    with pytest.raises(SilentConnectionError):
        await read(Body(b'one\n'), deny)
    assert checks == [True]


async def test_expected_silence_is_waited_for_and_bounded():
    checks = []

    async def confirm(has_received):
        checks.append(has_received)
        return True

    with pytest.raises(SilentConnectionError):
        await read(Body(), confirm)
    assert checks == [False, False, False]


async def test_stream_goes_on_after_an_expected_silence():
    body = Body()

    async def confirm(has_received):
        body.parts += [b'one\n', b'']
        body.has_more.set()
        return True

    assert await read(body, confirm) == [b'one']
