"""Guards against clients that hold memory or descriptors and do not go on."""

from typing import cast

import pytest

from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import CallerLimits
from ladder_node.serving.budget import ByteBudget, HostLimits
from ladder_node.serving.guard import ClientConnection, ClientGuard, Phase

HEADER_SECONDS = 3
IDLE_SECONDS = 15
LARGEST_BODY = 33_554_432


class Connection:
    """Stands for a ClientConnection."""

    def __init__(self, guard, phase=Phase.idle, address='a', held_bytes=0):
        self.is_open = True
        self.phase = phase
        self.address = address
        self.held_bytes = held_bytes
        self.progress = 0
        self.requests = 0
        guard.add(cast(ClientConnection, self), is_reserved=False)

    def abort(self):
        self.is_open = False


@pytest.fixture
async def timers():
    return ManualTimerService()


@pytest.fixture
async def guard(timers):
    made = ClientGuard(
        HostLimits(descriptors=32),
        timers,
        Timeline('a', HybridClock(timers)),
    )
    made.set_limits(
        CallerLimits(
            idle_timeout_seconds=IDLE_SECONDS,
            header_timeout_seconds=HEADER_SECONDS,
        )
    )
    await made.start()
    yield made
    await made.close()


async def test_head_that_arrives_a_byte_at_a_time_is_closed(guard, timers):
    connection = Connection(guard, Phase.head)
    for _ in range(HEADER_SECONDS):
        connection.progress += 1
        await timers.advance(1)
    assert connection.is_open
    await timers.advance(3)
    assert not connection.is_open


@pytest.mark.parametrize('phase', [Phase.body, Phase.writing])
async def test_slow_body_or_reader_is_closed_and_a_steady_one_stays(
    guard, timers, phase
):
    slow = Connection(guard, phase)
    steady = Connection(guard, phase)
    for _ in range(2 * IDLE_SECONDS):
        slow.progress += 1
        steady.progress += 1024
        await timers.advance(1)
    assert not slow.is_open
    assert steady.is_open


async def test_request_that_runs_is_never_closed(guard, timers):
    connections = [Connection(guard, Phase.running) for _ in range(20)]
    await timers.advance(10 * IDLE_SECONDS)
    open_ones = [one for one in connections if one.is_open]
    assert len(open_ones) == HostLimits(descriptors=32).max_connections
    assert connections[0].is_open


async def test_time_in_which_the_process_did_not_run_is_not_counted(
    guard, timers
):
    connection = Connection(guard, Phase.head)
    await timers.advance(1)
    # Without an await between, as after SIGSTOP.
    timers._now += 60
    await timers.advance(0.6)
    assert connection.is_open


async def test_stalled_connection_goes_before_an_idle_one(guard, timers):
    idle = Connection(guard)
    stalled = Connection(guard, Phase.body)
    moving = Connection(guard, Phase.body)
    for _ in range(3):
        moving.progress += 10_000
        await timers.advance(1)
    moving.progress += 1
    while stalled.is_open:
        Connection(guard, Phase.running)
    assert idle.is_open
    assert moving.is_open


async def test_address_with_most_connections_loses_one_first(guard, timers):
    other = Connection(guard, address='b')
    await timers.advance(1)
    crowd = [Connection(guard) for _ in range(20)]
    assert other.is_open
    assert not crowd[0].is_open
    assert crowd[-1].is_open


async def test_stalled_holder_is_closed_for_others_and_a_moving_one_not(
    guard, timers
):
    moving = Connection(guard, Phase.body, held_bytes=1)
    stalled = Connection(guard, Phase.body, held_bytes=1)
    empty = Connection(guard, Phase.body)
    for _ in range(3):
        moving.progress += 10_000
        await timers.advance(1)
    moving.progress += 1
    assert guard.relieve()
    assert not guard.relieve()
    assert moving.is_open
    assert empty.is_open
    assert not stalled.is_open


def test_smallest_host_serves_one_of_the_largest_bodies():
    budget = ByteBudget(HostLimits(160_000_000, 1638).budget_bytes)
    assert budget.admits_large('a', LARGEST_BODY, 0)
    budget.hold_large('a', LARGEST_BODY)
    assert not budget.admits_large('b', LARGEST_BODY, 0)
    assert budget.admits(65_536)
    budget.hold_large('a', -LARGEST_BODY)
    assert not budget.held_bytes


def test_body_without_a_declared_length_may_grow_to_the_largest():
    budget = ByteBudget(HostLimits(96_000_000, 200).budget_bytes)
    budget.hold_large('a', LARGEST_BODY // 2)
    assert budget.admits_large('a', LARGEST_BODY // 2, LARGEST_BODY // 2)


def test_reserve_of_descriptors_is_kept():
    limits = HostLimits(552_000_000, 1638)
    assert limits.max_connections <= 1638 - 200
    assert HostLimits(552_000_000, 80).max_connections <= 40
