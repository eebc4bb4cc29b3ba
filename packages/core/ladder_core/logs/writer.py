"""Write lines to a file descriptor without ever waiting for its reader."""

import os

from prometheus_client import Counter

# A reader that is this far behind loses the newest lines.
_MAX_PENDING_BYTES = 1_000_000

_dropped_counter = Counter(
    'ladder_log_bytes_dropped_total',
    'Bytes of log lines that a slow reader did not take',
)


class LineWriter:
    """
    Keep what the reader does not take yet, up to a bound.

    Parameters
    ----------
    descriptor : int
        Where to write; made non-blocking unless it is a terminal.
    limit : int, optional
        Bytes that are kept.

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
        """Write a line, or keep it, or count it as dropped."""
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
            # Nobody reads any more; the service goes on without its log.
            _dropped_counter.inc(len(self._pending))
            self._pending.clear()
            return
        del self._pending[:written]
