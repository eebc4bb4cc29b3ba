"""Connections whose received bytes are parsed in slices."""

import asyncio
from collections import deque
from collections.abc import Callable

from prometheus_client import Counter

_slices_counter = Counter(
    'ladder_client_parse_slices_total',
    'Slices of received bytes that were parsed in later turns of the event'
    ' loop, since they hold many small parts or a large head',
)


class ParseQueue:
    """
    Parse the bytes of one connection in each turn of the event loop.

    Explanation
    -----------
    A piece of a body costs about the same time to parse whatever its size, so
    bytes that a client sends in the smallest pieces cost thousands of times
    more than others. Connections that receive such bytes wait here, each for
    one slice at a time, and other connections are served in every turn.

    """

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()

    def add(self, parse_slice: Callable[[], None]) -> None:
        """Add a connection, once, by the callable that parses a slice."""
        self._waiting.append(parse_slice)
        if len(self._waiting) == 1:
            self._schedule()

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        _slices_counter.inc()
        parse_slice = self._waiting[0]
        try:
            parse_slice()
        finally:
            self._waiting.popleft()
            if self._waiting:
                self._schedule()
