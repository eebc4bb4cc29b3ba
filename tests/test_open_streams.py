"""Guards against streams that a test leaves open and that fail another one."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PREAMBLE = """
import asyncio

kept = []

async def open_stream(handler):
    server = await asyncio.start_server(handler, '127.0.0.1', 0)
    stream = await asyncio.open_connection(*server.sockets[0].getsockname())
    await stream[0].read(1)
    server.close()
    return stream

async def answer(reader, writer):
    writer.write(b'x')
    await writer.drain()
    writer.close()

async def answer_and_forget(reader, writer):
    writer.write(b'x')
    await writer.drain()

def test_before():
    pass
"""
FOLLOWERS = """
def test_after():
    import gc
    gc.collect()
"""
TESTS = {
    'kept': (
        'async def test_leak():',
        '    kept.append(await open_stream(answer))',
    ),
    'dropped': (
        'async def test_leak():',
        '    await open_stream(answer)',
    ),
    'dropped in a cycle': (
        'async def test_leak():',
        '    cycle = [await open_stream(answer)]',
        '    cycle.append(cycle)',
    ),
    'dropped by the server': (
        'async def test_leak():',
        '    _, writer = await open_stream(answer_and_forget)',
        '    writer.close()',
    ),
    'dropped by a loop of its own': (
        'def test_leak():',
        '    asyncio.run(open_stream(answer))',
    ),
}
CLOSING_TEST = (
    'async def test_close():',
    '    _, writer = await open_stream(answer)',
    '    writer.close()',
)


def run_pytest(folder, lines):
    path = folder / 'test_streams.py'
    path.write_text(PREAMBLE + '\n'.join(lines) + FOLLOWERS)
    command = [sys.executable, '-m', 'pytest', '-p', 'conftest']
    command += ['-p', 'no:cacheprovider', '-o', 'asyncio_mode=auto', '-rA']
    command += ['-W', 'error::pytest.PytestUnraisableExceptionWarning']
    result = subprocess.run(
        command,
        cwd=folder,
        env={**os.environ, 'PYTHONPATH': str(ROOT)},
        capture_output=True,
        text=True,
    )
    return result.stdout


@pytest.mark.parametrize('name', TESTS)
def test_test_that_leaves_a_stream_open_fails_and_no_other(tmp_path, name):
    output = run_pytest(tmp_path, TESTS[name])
    assert 'ERROR test_streams.py::test_leak' in output
    assert 'streams left open: ' in output
    assert '3 passed, 1 error' in output


def test_test_that_closes_its_stream_passes(tmp_path):
    assert '3 passed in' in run_pytest(tmp_path, CLOSING_TEST)
