"""
Patterns of load on servers, and what is learned of them.

Each test names the load that it answers. Times of engines are seconds per
token; an engine with six texts has about 120 events per second.
"""

import random

import pytest

from ladder_policy.capacity import FixedFleet, LearnedFleet
from ladder_policy.scheduling import (
    EngineView,
    RunView,
    choose_engine,
    should_move,
)

USUAL = 0.0007
TICK = 1 / 120


def make_engine_fleet():
    return LearnedFleet(USUAL, window_seconds=0.1, settle_seconds=0.5)


def run_engine(server, start, seconds, factor=1.0, rng=None, running=6):
    """Feed events for some time; return the time of the last one."""
    rng = rng or random.Random(1)
    now = start
    while now < start + seconds:
        gap = USUAL * factor * rng.uniform(0.75, 1.3)
        server.observe(gap, running, now)
        now += TICK * factor
    return now


def run_noise(server, rng, start, seconds, factor=1.0):
    """Feed events that are 2.5 times slower for 15 % of the time."""
    now = start
    while now < start + seconds:
        now = run_engine(server, now, rng.expovariate(1 / 3.4), factor, rng)
        now = run_engine(server, now, 0.6, 2.5 * factor, rng)
    return now


def test_pattern_one_slow_replica_of_three():
    """Guards against long texts on a replica that is slower for good."""
    fleet = make_engine_fleet()
    servers = [fleet.make_server() for _ in range(3)]
    for server, factor in zip(servers, (0.7, 0.7, 1.7), strict=True):
        run_engine(server, 0, 3, factor)
    times = [server.estimate(3) for server in servers]
    assert times[2] / times[0] == pytest.approx(1.7 / 0.7, rel=0.1)
    assert times[1] == pytest.approx(times[0], rel=0.05)
    views = [
        EngineView(str(number), seconds, free_slots=6)
        for number, seconds in enumerate(times)
    ]
    chosen = choose_engine(views[2:], 8000, 7.5, min(times))
    assert chosen is None
    # Idle for some seconds, it is still known to be slow.
    assert servers[2].estimate(15) == pytest.approx(times[2])


def test_pattern_first_contact_among_unequal_replicas_is_cautious():
    """Guards against a burst to a new replica that may be a slow one."""
    fleet = make_engine_fleet()
    for factor in (0.7, 0.7, 1.7):
        run_engine(fleet.make_server(), 0, 3, factor)
    new = fleet.make_server()
    assert new.find_limit(6, now=3) == 3
    assert new.estimate(3) > 1.2 * 0.7 * USUAL
    new.observe(0.7 * USUAL, 1, 3.1)
    assert new.find_limit(6, now=3.2) == 6


def run_changing_load(server, rng, start, seconds, find_factor):
    """Feed texts that begin together and end one after the other."""
    now = start
    while now < start + seconds:
        limit = server.find_limit(6, now)
        for running in range(limit, 0, -1):
            now = run_engine(
                server, now, 0.6, find_factor(running), rng, running
            )
    return now


def test_pattern_knee_at_half_of_the_slots():
    """Guards against requests that only lengthen those in progress."""
    rng = random.Random(2)
    server = make_engine_fleet().make_server()
    now = run_changing_load(server, rng, 0, 200, lambda n: max(n, 3) / 3)
    assert server.find_limit(6, now=5) == 3
    assert server.find_limit(6, now=10) == 4
    # The knee is gone: probes show that throughput rises again.
    run_changing_load(server, rng, now, 900, lambda _: 1)
    assert server.find_limit(6, now=5) == 6


@pytest.mark.parametrize('seed', range(4))
def test_pattern_engines_that_gain_from_being_full_keep_all_slots(seed):
    """Guards against idle slots of engines whose steps hardly grow."""
    rng = random.Random(seed)
    server = make_engine_fleet().make_server()
    now: float = 0
    for _ in range(60):
        now = run_changing_load(server, rng, now, 3.6, lambda n: 1 + n / 60)
        now = run_engine(server, now, 0.6, 2.5, rng, 6)
        assert server.find_limit(6, now=5) == 6


def test_pattern_slow_down_of_three_times_and_recovery():
    """
    Guards against texts that stay on an engine that turned slow.

    The text has to move within a second, to be complete by its due time.
    """
    rng = random.Random(3)
    fleet = make_engine_fleet()
    slow, other = fleet.make_server(), fleet.make_server()
    run_noise(other, rng, 0, 30)
    now = run_noise(slow, rng, 0, 30)
    now = run_engine(slow, now, 2, 1, rng)
    began = now
    moved_at = None
    while now < began + 8:
        now = run_engine(slow, now, 0.1, 3, rng)
        run = RunView(4000, slow.estimate_likely(now, 4000), seconds_left=5)
        if moved_at is None and should_move(
            run,
            other.estimate(now, 4000),
            is_certain=True,
            others_wait=False,
        ):
            moved_at = now
    assert moved_at is not None
    assert moved_at - began < 1
    now = run_engine(slow, now, 0.4, 1, rng)
    assert slow.estimate(now) == pytest.approx(USUAL, rel=0.15)


def test_pattern_slow_down_ends_while_the_engine_is_idle():
    """Guards against an engine that is avoided long after its recovery."""
    fleet = make_engine_fleet()
    server = fleet.make_server()
    now = run_engine(server, 0, 5)
    now = run_engine(server, now, 1.5, 3)
    assert server.estimate(now, 1000) > 2 * USUAL
    assert server.estimate(now + 20, 1000) == pytest.approx(USUAL, rel=0.1)


def test_pattern_change_for_good_is_forgotten_both_ways():
    """Guards against estimates that describe an earlier load for ever."""
    server = make_engine_fleet().make_server()
    now = run_engine(server, 0, 10)
    now = run_engine(server, now, 25, 3)
    assert server.usual_seconds == pytest.approx(3 * USUAL, rel=0.1)
    now = run_engine(server, now, 1, 1)
    assert server.usual_seconds == pytest.approx(USUAL, rel=0.1)


def find_false_alarms(fleet, seed):
    """Return the share of ticks in which noise moves a text."""
    rng = random.Random(seed)
    noisy, other = fleet.make_server(), fleet.make_server()
    now = run_noise(noisy, rng, 0, 20)
    run_engine(other, now - 3, 3, 1, rng)
    alarms = 0
    ticks = 0
    for _ in range(30):
        for factor, tenths in ((1, round(34 * rng.random()) + 1), (2.5, 6)):
            for _ in range(tenths):
                now = run_engine(noisy, now, 0.1, factor, rng)
                run_engine(other, now, 0.02, 1, rng)
                run = RunView(
                    4000, noisy.estimate_likely(now, 4000), seconds_left=4
                )
                ticks += 1
                alarms += should_move(
                    run,
                    other.estimate(now, 4000),
                    is_certain=True,
                    others_wait=False,
                )
    return alarms / ticks


@pytest.mark.parametrize('seed', range(4))
def test_pattern_noise_moves_no_text(seed):
    """Guards against moves for slow-downs that are over before the move."""
    assert find_false_alarms(make_engine_fleet(), seed) < 0.02
    assert find_false_alarms(FixedFleet(), seed) > 0.05


@pytest.mark.parametrize('seed', range(4))
def test_pattern_noise_among_long_slow_downs_moves_no_text(seed):
    """
    Guards against moves that the mean rest of slow-downs asks for.

    A fifth of long slow-downs makes the mean rest of each new one 2 s, and
    a text may move only twice.
    """
    fleet = make_engine_fleet()
    for number in range(50):
        fleet.slow_downs.add(0.6 if number % 5 else 8)
    assert find_false_alarms(fleet, seed) < 0.02


@pytest.mark.parametrize('seconds', [1, 30])
def test_pattern_one_outlier(seconds):
    """Guards against a replica that is avoided for one lost packet."""
    rng = random.Random(4)
    server = LearnedFleet(0.07).make_server()
    for moment in range(60):
        server.observe(rng.uniform(0.025, 0.12), 1, moment)
    usual = server.estimate(60)
    server.observe(seconds, 1, 60)
    assert server.estimate(60, 1) <= 4 * usual
    server.observe(0.07, 1, 61)
    assert server.estimate(61, 1) == pytest.approx(usual, rel=0.1)


def test_pattern_cold_connection_at_first_contact():
    """Guards against a first time that counts like a usual one."""
    server = LearnedFleet(0.07).make_server()
    server.observe(0.4, 1, 0)
    for moment in range(1, 5):
        server.observe(0.05, 1, moment)
    assert server.estimate(5) < 0.06


def test_pattern_no_traffic():
    """Guards against a replica that is never measured again."""
    fleet = make_engine_fleet()
    for _ in range(3):
        run_engine(fleet.make_server(), 0, 3)
    server = fleet.make_server()
    assert server.estimate(3) == pytest.approx(USUAL, rel=0.1)
    run_engine(server, 3, 3, 4)
    assert server.estimate(600) < 2.6 * USUAL
    assert server.find_limit(6, now=605) == 6


@pytest.mark.parametrize('seed', range(4))
def test_pattern_replicas_that_are_alike(seed):
    """Guards against other decisions where nothing is to be learned."""
    fleets = (make_engine_fleet(), FixedFleet())
    for fleet in fleets:
        rng = random.Random(seed)
        servers = [fleet.make_server() for _ in range(6)]
        for server in servers:
            run_engine(server, 0, 3, 1, rng)
        times = [server.estimate(3, 5000) for server in servers]
        assert max(times) / min(times) < 1.1
        assert {server.find_limit(6, now=3) for server in servers} == {6}
        assert not any(
            should_move(
                RunView(5000, slowest, seconds_left=4),
                fastest,
                is_certain=True,
                others_wait=False,
            )
            for slowest in times
            for fastest in times
        )


def test_pattern_responses_faster_than_the_clock():
    """Guards against a division by a time of zero."""
    server = LearnedFleet(0.07).make_server()
    for moment in range(30):
        server.observe(0 if moment % 7 else 0.05, 1, moment)
    assert server.estimate(30) < 0.06
