import pytest

from ladder_cli.explain import explain
from ladder_core.errors import SettingsError

LINES = (
    '{"time":"2026-01-01T00:00:0%d","level":"INFO","message":"%s",'
    '"fields":{"node":"%s","subject":"%s"%s}}'
)


def write(path, *lines):
    path.write_text('\n'.join(LINES % line for line in lines))
    return path


@pytest.fixture
def logs(tmp_path):
    first = write(
        tmp_path / 'a.log',
        (1, 'batch-submitted', 'a', 'b1', ''),
        (4, 'dependency-lost', 'a', 'store', ''),
        (5, 'request-ended', 'a', 'r1', ',"sent_to":"e1,e2"'),
    )
    second = write(
        tmp_path / 'b.log',
        (2, 'batch-opened', 'b', 'b1', ''),
        (3, 'task-run-ended', 'b', 't1', ',"batch":"b1"'),
        (6, 'results-durable', 'b', 'b1', ',"results":"t1,t2"'),
        (7, 'task-run-ended', 'b', 't9', ',"batch":"b2"'),
    )
    return first, second


def list_kinds(capsys):
    return [line.split()[2] for line in capsys.readouterr().out.splitlines()]


def test_lines_of_a_task_are_gathered_with_those_of_its_batch(logs, capsys):
    explain('t1', *logs)
    assert list_kinds(capsys) == [
        'batch-submitted',
        'batch-opened',
        'task-run-ended',
        'results-durable',
    ]


def test_context_shows_events_of_the_nodes_in_that_time(logs, capsys):
    explain('t1', *logs, context=True)
    assert 'dependency-lost' in list_kinds(capsys)


def test_replica_is_found_among_several(logs, capsys):
    explain('e2', *logs)
    assert list_kinds(capsys) == ['request-ended']


def test_unknown_id_is_reported(logs, capsys):
    explain('nothing', *logs)
    assert capsys.readouterr().out == 'no log line mentions nothing\n'


def test_lines_of_other_programs_are_left_out(tmp_path, capsys):
    path = tmp_path / 'c.log'
    path.write_text('what {\n{"other": 1}\n')
    explain('t1', path)
    assert 'no log line' in capsys.readouterr().out


def test_missing_file_is_a_clear_error(tmp_path):
    with pytest.raises(SettingsError):
        explain('t1', tmp_path / 'none.log')
