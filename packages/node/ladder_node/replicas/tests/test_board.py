import pytest

from ladder_core.timeline import HybridClock, TimeLine
from ladder_core.timers import ManualTimerService
from ladder_core.values import Replica
from ladder_node.replicas import ReplicaBoard


def make(name, **fields):
    return Replica(name, 'taproom', f'{name}:1', 'leith', 6, **fields)


@pytest.fixture
def timers():
    return ManualTimerService()


@pytest.fixture
def board(timers):
    made = ReplicaBoard(timers, TimeLine('node', HybridClock(timers)))
    made.replace([make('a'), make('b')], 0)
    return made


def list_names(board):
    return sorted(record.name for record in board.list_service('taproom'))


def test_removed_replica_is_gone_at_once(board):
    board.change([], ['a'])
    assert list_names(board) == ['b']


def test_replica_missing_after_an_outage_is_kept_until_it_could_be_back(
    board,
):
    board.replace([make('b')], outage_seconds=5)
    assert list_names(board) == ['a', 'b']


async def test_replica_still_missing_after_an_outage_is_gone(board, timers):
    board.replace([make('b')], outage_seconds=5)
    await timers.advance(2.5)
    assert list_names(board) == ['b']


async def test_replica_that_is_back_after_an_outage_stays(board, timers):
    board.replace([make('b')], outage_seconds=5)
    await timers.advance(1)
    board.change([make('a')], [])
    await timers.advance(5)
    assert list_names(board) == ['a', 'b']


def test_another_process_of_a_name_is_judged_anew(board):
    record = board.find('a')
    for _ in range(5):
        record.note_failure(now=0)
    assert not record.allows(now=0)
    board.change([make('a', started_at=7)], [])
    assert board.find('a').allows(now=0)


def test_leaving_replica_gets_no_request(board):
    board.change([make('a', is_leaving=True)], [])
    assert not board.find('a').allows(now=0)


def test_one_lost_answer_does_not_rest_a_replica(board):
    record = board.find('a')
    record.note_failure(now=0)
    assert record.allows(now=0)
    assert not record.is_lost(now=0.5)
    assert record.is_lost(now=1)
    record.note_success(0.1, now=1)
    assert not record.is_lost(now=1)
