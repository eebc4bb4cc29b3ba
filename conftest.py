"""
Fixtures of all tests, and the check that no test leaves a stream open.

A stream that is collected as garbage after its event loop was closed raises
in ``StreamWriter.__del__`` on Python 3.11.6, in whichever test runs then;
Python 3.11.7 and later only warn.
"""

import asyncio
import gc
import sys
import weakref
from collections.abc import Generator

import pytest

# hypothesis imports it in the middle of a test, and pytest parses it then. On
# Python 3.11.6 this raises SystemError if a finalizer runs within the parse.
from hypothesis.internal.conjecture import optimiser  # noqa: F401 see above

_ASYNCIO = 'asyncio'
# A test may replace it for other callers than itself.
_open_connection = asyncio.open_connection
_opened: weakref.WeakSet['CheckedStreamWriter'] = weakref.WeakSet()
_dropped: list[str] = []


class CheckedStreamWriter(asyncio.StreamWriter):
    """
    Stream that remembers which line opened it, until it is closed.

    Parameters
    ----------
    transport : asyncio.WriteTransport
        Transport of the stream.
    protocol : asyncio.BaseProtocol
        Protocol of the transport.
    reader : asyncio.StreamReader, optional
        Stream that receives.
    loop : asyncio.AbstractEventLoop
        Event loop of the transport.

    """

    def __init__(
        self,
        transport: asyncio.WriteTransport,
        protocol: asyncio.BaseProtocol,
        reader: asyncio.StreamReader | None,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        super().__init__(transport, protocol, reader, loop)
        self._event_loop = loop
        self.place = _describe(transport)
        self.is_reported = False
        _opened.add(self)

    # The method of the library raises on 3.11.6 and warns on later versions.
    def __del__(self) -> None:
        if not self.is_reported and not self.transport.is_closing():
            _dropped.append(self.place)
            if not self._event_loop.is_closed():
                self.close()

    def is_leaked(self) -> bool:
        """Return whether the stream outlived its loop."""
        return self._event_loop.is_closed() and not self.transport.is_closing()


def pytest_addoption(parser: pytest.Parser) -> None:
    """Let `bin/test` run the serial tests apart."""
    parser.addoption(
        '--serial-tests',
        choices=('include', 'only', 'exclude'),
        default='include',
        help='whether to run the tests with the marker serial',
    )


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the tests that the other call of `bin/test` runs."""
    choice = config.getoption('--serial-tests')
    groups: dict[bool, list[pytest.Item]] = {True: [], False: []}
    for item in items:
        is_serial = item.get_closest_marker('serial') is not None
        groups[is_serial].append(item)
    if choice != 'include':
        config.hook.pytest_deselected(items=groups[choice == 'exclude'])
        items.clear()
        items.extend(groups[choice == 'only'])


def pytest_configure() -> None:
    """Check the streams of all tests."""
    asyncio.StreamWriter = CheckedStreamWriter  # type: ignore[misc]
    asyncio.streams.StreamWriter = CheckedStreamWriter  # type: ignore[misc]


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_teardown() -> Generator[None, None, None]:
    """Fail a test that left a stream open after its fixtures were closed."""
    try:
        result = yield
    finally:
        leaks = _find_leaks()
    if leaks:
        places = ', '.join(leaks)
        pytest.fail(f'streams left open: {places}', pytrace=False)
    return result


@pytest.fixture
async def connect():
    """Return a function that connects to ``ip:port``; closes the streams."""
    writers = []

    async def connect(address):
        host, _, port = address.rpartition(':')
        reader, writer = await _open_connection(host, port)
        writers.append(writer)
        return reader, writer

    yield connect
    for writer in writers:
        writer.close()


def _find_leaks() -> list[str]:
    """Return where the streams were opened that were not closed."""
    # A full collection takes 0.3 s and more with all tests loaded, so it runs
    # only if a stream is open; it finalizes streams in reference cycles.
    if any(not writer.transport.is_closing() for writer in tuple(_opened)):
        gc.collect()
    leaks = _dropped.copy()
    _dropped.clear()
    for writer in tuple(_opened):
        if writer.is_leaked():
            leaks.append(writer.place)
            writer.is_reported = True
            _opened.discard(writer)
    return leaks


def _describe(transport: asyncio.BaseTransport) -> str:
    """Return the line that opens a stream, or the server that accepts it."""
    frame = sys._getframe(2)
    if frame.f_code.co_name == 'connection_made':
        return f'accepted by {transport.get_extra_info("sockname")}'
    while frame.f_back is not None:
        frame = frame.f_back
        module = frame.f_globals.get('__name__', '')
        if module.partition('.')[0] != _ASYNCIO:
            break
    return f'{frame.f_code.co_filename}:{frame.f_lineno}'
