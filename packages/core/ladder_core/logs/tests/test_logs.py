import os

import pytest
from loguru import logger

from ladder_core.logs import EventLog, LineWriter
from ladder_core.timeline import Event, HybridTime
from ladder_core.timers import ManualTimerService


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


@pytest.fixture
def lines():
    written: list[str] = []
    number = logger.add(written.append, format='{message}')
    yield written
    logger.remove(number)


def test_lines_reach_the_reader(pipe):
    reading, writing = pipe
    LineWriter(writing).write('one')
    assert os.read(reading, 100) == b'one\n'


def test_reader_that_does_not_read_never_blocks_the_writer(pipe):
    reading, writing = pipe
    writer = LineWriter(writing, max_pending_bytes=100_000)
    for _ in range(5000):
        writer.write('x' * 99)
    received = os.read(reading, 10_000_000)
    assert received.endswith(b'x\n') or len(received) % 100
    writer.write('last')
    assert os.read(reading, 10_000_000)


def test_closed_reader_is_no_error():
    reading, writing = os.pipe()
    os.close(reading)
    writer = LineWriter(writing)
    writer.write('one')
    writer.write('two')
    os.close(writing)


def make_event(kind, subject='r'):
    return Event(HybridTime(1, 0), 'node', kind, subject, {'outcome': '200'})


def test_burst_of_one_kind_does_not_limit_other_kinds(lines):
    log = EventLog(ManualTimerService())
    for _ in range(1000):
        log.write(make_event('request-ended'))
    log.write(make_event('duty-begun'))
    assert 100 < len(lines) < 400
    assert lines[-1] == 'duty-begun\n'


async def test_lines_are_written_again_after_a_burst(lines):
    timers = ManualTimerService()
    log = EventLog(timers)
    for _ in range(1000):
        log.write(make_event('request-ended'))
    count = len(lines)
    await timers.advance(1)
    for _ in range(1000):
        log.write(make_event('request-ended'))
    assert len(lines) - count == 50
