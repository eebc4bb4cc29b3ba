"""Writing of large bodies in parts."""

import asyncio
from collections.abc import Iterable

import h11

# Larger bodies are written in parts of this size.
PART_BYTES = 65_536


class PartWriter(asyncio.Protocol):
    """
    Protocol that writes a large body as fast as the peer takes it.

    The transport would hold a copy of a body that is written at once.

    Parameters
    ----------
    http : h11.Connection
        Encodes what is written.

    """

    def __init__(self, http: h11.Connection) -> None:
        self._http = http
        self._transport: asyncio.Transport | None = None
        self._unsent = memoryview(b'')
        self._is_write_paused = False

    def pause_writing(self) -> None:
        """Wait with further parts, since the peer is slower."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Write the next parts."""
        self._is_write_paused = False
        self._write_parts()

    def write(self, events: Iterable[h11.Event]) -> None:
        """Write events at once."""
        parts = [self._http.send(event) for event in events]
        if self._transport is not None:
            self._transport.write(b''.join(part for part in parts if part))

    def begin_body(self, body: bytes) -> None:
        """Begin to write a body that is not empty, and end the message."""
        self._unsent = memoryview(body)
        self._write_parts()

    def drop_body(self) -> None:
        """Write no further parts."""
        self._unsent = memoryview(b'')

    def _write_parts(self) -> None:
        while self._unsent and not self._is_write_paused:
            part = bytes(self._unsent[:PART_BYTES])
            self._unsent = self._unsent[PART_BYTES:]
            events: list[h11.Event] = [h11.Data(data=part)]
            if not self._unsent:
                events.append(h11.EndOfMessage())
            self.write(events)
