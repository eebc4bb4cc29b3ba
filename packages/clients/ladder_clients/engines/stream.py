"""Read the lines of a generation's stream, with a limit on silence."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp

from ladder_clients.transport import SilentConnectionError, TransportBrokenError

_LINE_END = b'\n'
_MAX_LINE_BYTES = 1_000_000
_REMEDY = 'go on elsewhere from what was received'

SilenceCheck = Callable[[bool], Awaitable[bool]]


class LineStream:
    """
    Split a body into lines while it arrives.

    Parameters
    ----------
    content : aiohttp.StreamReader
        The body.
    gap_seconds : float
        Silence after which the stream needs an is_silence_expected.
    is_silence_expected : Excuse
        Called with whether anything was received yet; tells, over another
        connection, whether the engine has a reason to be silent.
    max_silent_gaps : int
        Gaps in a row that an is_silence_expected may cover.

    """

    def __init__(
        self,
        content: aiohttp.StreamReader,
        gap_seconds: float,
        is_silence_expected: SilenceCheck,
        max_silent_gaps: int,
    ) -> None:
        self._content = content
        self._gap = gap_seconds
        self._is_silence_expected = is_silence_expected
        self._max_silent_gaps = max_silent_gaps
        self._buffer = b''
        self._has_received = False

    async def read(self) -> AsyncIterator[bytes]:
        """
        Yield the lines without their ends.

        Raises
        ------
        SilentConnectionError
            Nothing arrives and the engine has no reason for it.
        TransportBrokenError
            A line is over the limit.

        """
        while True:
            line, end, rest = self._buffer.partition(_LINE_END)
            if end:
                self._buffer = rest
                yield line
                continue
            received = await self._wait()
            if not received:
                return
            self._buffer += received
            if len(self._buffer) > _MAX_LINE_BYTES:
                raise TransportBrokenError(
                    f'a line of the stream is over {_MAX_LINE_BYTES} bytes',
                    remedy=_REMEDY,
                )

    async def _wait(self) -> bytes:
        for _ in range(self._max_silent_gaps):
            try:
                async with asyncio.timeout(self._gap):
                    received = await self._content.readany()
            except TimeoutError:
                if await self._is_silence_expected(self._has_received):
                    continue
                break
            self._has_received = True
            return received
        raise SilentConnectionError(
            f'the stream was silent for {self._gap} s',
            remedy=_REMEDY,
        )
