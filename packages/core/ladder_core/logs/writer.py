"""Non-blocking writer of log lines."""

import os

from prometheus_client import Counter

# Log lines that a slow reader has not yet taken are kept up to this size;
# beyond it, new lines are dropped.
_MAX_PENDING_BYTES = 1_000_000

_dropped_counter = Counter(
    'ladder_log_bytes_dropped_total',
    'Bytes of log lines that a slow reader did not take',
)


class LineWriter:
    """
    Write lines to a file descriptor without blocking on its reader.

    Bytes that the reader does not accept yet are buffered up to a limit.

    Parameters
    ----------
    file_descriptor : int
        Destination of the lines; it is made non-blocking unless it is a
        terminal.
    max_pending_bytes : int, optional
        Maximum size of the buffer; lines beyond it are dropped.

    """

    def __init__(
        self, file_descriptor: int, max_pending_bytes: int = _MAX_PENDING_BYTES
    ) -> None:
        self._file_descriptor = file_descriptor
        self._max_pending_bytes = max_pending_bytes
        self._pending = bytearray()
        if not os.isatty(file_descriptor):
            os.set_blocking(file_descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, buffer it, or drop it and count its bytes."""
        encoded = f'{line}\n'.encode()
        if len(self._pending) + len(encoded) > self._max_pending_bytes:
            self._flush()
        if len(self._pending) + len(encoded) > self._max_pending_bytes:
            _dropped_counter.inc(len(encoded))
            return
        self._pending += encoded
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._file_descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed its end; the process continues without a
            # log.
            _dropped_counter.inc(len(self._pending))
            self._pending.clear()
            return
        del self._pending[:written]
