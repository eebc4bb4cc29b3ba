"""Reader of the lines of a generation's stream, with a time-out."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp

from ladder_clients.transport import SilentConnectionError, TransportBrokenError

_LINE_END = b'\n'
_MAX_LINE_BYTES = 1_000_000
_REMEDY = 'go on elsewhere from what was received'

# Takes whether anything has been received; returns whether to wait on.
SilenceCheck = Callable[[bool], Awaitable[bool]]


class LineStream:
    """
    Reader that splits a response body into lines as it arrives.

    Parameters
    ----------
    content : aiohttp.StreamReader
        Body of the response.
    gap_seconds : float
        Time without a received byte after which the engine is asked for the
        reason.
    is_silence_expected : SilenceCheck
        Called after each gap with whether anything has been received so far.
        Asks the engine over another connection whether it has a reason to send
        nothing.
    max_silent_gaps : int
        Number of consecutive gaps after which the stream counts as lost, even
        if the engine has a reason for them.

    """

    def __init__(
        self,
        content: aiohttp.StreamReader,
        gap_seconds: float,
        is_silence_expected: SilenceCheck,
        max_silent_gaps: int,
    ) -> None:
        self._content = content
        self._gap_seconds = gap_seconds
        self._is_silence_expected = is_silence_expected
        self._max_silent_gaps = max_silent_gaps
        self._buffer = b''
        self._has_received = False

    async def read(self) -> AsyncIterator[bytes]:
        """
        Yield the lines without their line ends.

        Raises
        ------
        SilentConnectionError
            Nothing is received, and the engine has no reason for it or the
            limit on gaps is reached.
        TransportBrokenError
            A line is longer than 1 MB.

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
                async with asyncio.timeout(self._gap_seconds):
                    received = await self._content.readany()
            except TimeoutError:
                if await self._is_silence_expected(self._has_received):
                    continue
                break
            self._has_received = True
            return received
        raise SilentConnectionError(
            f'the stream was silent for {self._gap_seconds} s',
            remedy=_REMEDY,
        )
