"""Guards against a verdict of `bin/test` that hides one of its two calls."""

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LOG = """#!/usr/bin/env bash
echo "$*" >> "$TOP/calls"
case "$*" in *--serial-tests=only*) exit "$SERIAL";; *) exit "$PARALLEL";; esac
"""
SUITE = """
import pytest

@pytest.mark.serial
def test_alone():
    pass

def test_among_others():
    pass
"""


def write_program(path, text):
    path.write_text(text)
    path.chmod(0o755)


@pytest.fixture
def run(tmp_path):
    def run(parallel, serial, *arguments):
        programs = tmp_path / 'bin'
        programs.mkdir()
        shutil.copy(ROOT / 'bin' / 'test', programs)
        write_program(programs / 'pytest', LOG)
        write_program(programs / 'lint', '#!/bin/sh\n')
        write_program(programs / 'env', f'#!/bin/sh\necho {programs}\n')
        variables = {
            **os.environ,
            'TOP': str(tmp_path),
            'PARALLEL': str(parallel),
            'SERIAL': str(serial),
        }
        result = subprocess.run(
            [str(programs / 'test'), *arguments], env=variables
        )
        calls = (tmp_path / 'calls').read_text().splitlines()
        return result.returncode, calls

    return run


@pytest.mark.parametrize(
    ('parallel', 'serial', 'status'),
    [
        pytest.param(0, 0, 0, id='both pass'),
        pytest.param(1, 0, 1, id='parallel test fails'),
        pytest.param(0, 1, 1, id='serial test fails'),
        pytest.param(5, 0, 0, id='only serial tests selected'),
        pytest.param(0, 5, 0, id='no serial test selected'),
        pytest.param(5, 1, 1, id='only a serial test, which fails'),
        pytest.param(1, 5, 1, id='only parallel tests, one of which fails'),
        pytest.param(5, 5, 5, id='nothing selected'),
        pytest.param(2, 1, 2, id='interrupted'),
    ],
)
def test_status_is_that_of_both_calls(run, parallel, serial, status):
    assert run(parallel, serial)[0] == status


def test_arguments_reach_both_calls(run):
    arguments = ('-k', 'lease or path', '--deselect=a::b', '-n', '2')
    _, calls = run(0, 0, *arguments)
    assert len(calls) == 2
    assert all(' '.join(arguments) in call for call in calls)
    # Serial tests stay so whatever number of processes is asked for.
    assert calls[1].endswith('--numprocesses=0')


@pytest.mark.parametrize(
    ('choice', 'passed'),
    [
        ('only', ['test_alone']),
        ('exclude', ['test_among_others']),
        ('include', ['test_alone', 'test_among_others']),
    ],
)
def test_serial_tests_are_selected(tmp_path, choice, passed):
    (tmp_path / 'test_suite.py').write_text(SUITE)
    options = ['-p', 'conftest', '-p', 'no:cacheprovider', '-rA', '-q']
    result = subprocess.run(
        [
            sys.executable,
            '-m',
            'pytest',
            *options,
            f'--serial-tests={choice}',
            'test_suite.py',
        ],
        cwd=tmp_path,
        env={**os.environ, 'PYTHONPATH': str(ROOT)},
        capture_output=True,
        text=True,
    )
    lines = result.stdout.splitlines()
    assert [line for line in lines if line.startswith('PASSED')] == [
        f'PASSED test_suite.py::{name}' for name in passed
    ]
