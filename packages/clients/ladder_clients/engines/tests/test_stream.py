import asyncio

import pytest

from ladder_clients.engines.stream import LineStream
from ladder_clients.transport import SilentConnectionError

GAP_SECONDS = 0.02


class Body:
    """A body whose parts come after pauses, then silence."""

    def __init__(self, *parts):
        self.parts = list(parts)
        self.silence = asyncio.Event()

    async def readany(self):
        if not self.parts:
            await self.silence.wait()
        return self.parts.pop(0)


async def read(body, excuse, silences=3):
    stream = LineStream(body, GAP_SECONDS, excuse, silences)
    return [line async for line in stream.read()]


async def test_lines_are_joined_over_parts():
    async def refuse(has_received):
        return False

    body = Body(b'on', b'e\ntwo\nth', b'ree\n', b'')
    assert await read(body, refuse) == [b'one', b'two', b'three']


async def test_silence_without_excuse_ends_the_stream():
    asked = []

    async def refuse(has_received):
        asked.append(has_received)
        return False

    with pytest.raises(SilentConnectionError):
        await read(Body(b'one\n'), refuse)
    assert asked == [True]


async def test_silence_with_excuse_is_waited_for_and_bounded():
    asked = []

    async def excuse(has_received):
        asked.append(has_received)
        return True

    with pytest.raises(SilentConnectionError):
        await read(Body(), excuse)
    assert asked == [False, False, False]


async def test_stream_goes_on_after_an_excused_silence():
    body = Body()

    async def excuse(has_received):
        body.parts += [b'one\n', b'']
        body.silence.set()
        return True

    assert await read(body, excuse) == [b'one']
