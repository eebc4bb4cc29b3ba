from dataclasses import replace

import pytest

from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import Replica
from ladder_node.replicas import ReplicaRegistry


def make(name, **fields):
    return Replica(name, 'taproom', f'{name}:1', 'leith', 6, **fields)


@pytest.fixture
def timers():
    return ManualTimerService()


@pytest.fixture
def registry(timers):
    made = ReplicaRegistry(timers, Timeline('node', HybridClock(timers)))
    made.replace([make('a'), make('b')], 0)
    return made


def list_names(registry):
    return sorted(record.name for record in registry.list_service('taproom'))


def test_removed_replica_is_gone_at_once(registry):
    registry.change([], ['a'])
    assert list_names(registry) == ['b']


def test_replica_missing_after_an_outage_is_kept_until_it_could_be_back(
    registry,
):
    registry.replace([make('b')], outage_seconds=5)
    assert list_names(registry) == ['a', 'b']


async def test_replica_still_missing_after_an_outage_is_gone(registry, timers):
    registry.replace([make('b')], outage_seconds=5)
    await timers.advance(2.5)
    assert list_names(registry) == ['b']


async def test_replica_that_is_back_after_an_outage_stays(registry, timers):
    registry.replace([make('b')], outage_seconds=5)
    await timers.advance(1)
    registry.change([make('a')], [])
    await timers.advance(5)
    assert list_names(registry) == ['a', 'b']


def test_another_process_of_a_name_is_judged_anew(registry):
    record = registry.find('a')
    for _ in range(5):
        record.record_failure(now=0)
    assert not record.allows(now=0)
    registry.change([make('a', started_at=7)], [])
    assert registry.find('a').allows(now=0)


def test_leaving_replica_gets_no_request(registry):
    registry.change([make('a', is_leaving=True)], [])
    assert not registry.find('a').allows(now=0)


def test_one_lost_answer_does_not_block_a_replica(registry):
    record = registry.find('a')
    record.record_failure(now=0)
    assert record.allows(now=0)
    assert not record.is_failing(now=0.5)
    assert record.is_failing(now=1)
    record.record_success(0.1, now=1)
    assert not record.is_failing(now=1)


def test_process_whose_address_a_later_one_has_gets_no_request(registry):
    registry.change([make('c', started_at=9)], [])
    later = replace(make('d', started_at=12), address='c:1')
    registry.change([later], [])
    assert registry.find('c').has_ended
    assert not registry.find('c').allows(now=0)
    assert registry.find('d').allows(now=0)
    # A full read lists the old entry once more.
    registry.replace([make('c', started_at=9), later], 0)
    assert not registry.find('c').allows(now=0)
    assert registry.find('d').allows(now=0)


def test_old_entry_that_is_listed_late_is_no_later_process(registry):
    registry.change([make('c', started_at=9)], [])
    earlier = replace(make('d', started_at=5), address='c:1')
    registry.change([earlier], [])
    assert registry.find('c').allows(now=0)
    assert not registry.find('d').allows(now=0)


def test_process_that_starts_again_under_its_name_gets_requests(registry):
    registry.change([replace(make('c', started_at=9), address='a:1')], [])
    assert not registry.find('a').allows(now=0)
    registry.change([make('a', started_at=12)], [])
    assert registry.find('a').allows(now=0)
    assert not registry.find('c').allows(now=0)


def test_address_of_a_removed_process_is_forgotten(registry):
    registry.change([replace(make('c', started_at=9), address='a:1')], ['a'])
    registry.change([], ['c'])
    registry.change([make('a', started_at=4)], [])
    assert registry.find('a').allows(now=0)
