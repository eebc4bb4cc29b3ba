"""
Numbers of replicas under load patterns of busy days.

A trainer submits 40 to 170 tasks at once every 4 s, due 7.5 s later. Replicas
boot in 4 s; those of a data centre's spot kind may be taken back at once. The
baseline never changes the numbers.
"""

import pytest

from ladder_core.values import ScalingLimits
from ladder_policy.scaling import (
    BurstScaling,
    DataCentreState,
    Demand,
    FixedScaling,
    PoolState,
    ServiceState,
    TaskDemand,
    count_needed_engines,
)
from ladder_policy.scaling.tests.simulation import (
    LIMITS,
    PRICES,
    Simulation,
    make_bursts,
)

SEEDS = range(4)
EXPENSIVE = 'west'


def run_bursts(policy, regular, seconds, seed=1, smallest=40, largest=170):
    simulation = Simulation(policy, regular)
    simulation.run(seconds, make_bursts(smallest, largest, seed))
    return simulation


def make_demand(count, tokens=2000, seconds_left=7.5):
    return Demand((TaskDemand(tokens, seconds_left),) * count, 0.0007, 6)


def make_state(now=0, regular=1, spot=0, demand=None, **changes):
    limits = changes.pop('limits', LIMITS)
    return ServiceState(
        now,
        limits,
        demand,
        tuple(
            DataCentreState(
                name, PoolState(serving=regular), PoolState(serving=spot)
            )
            for name in limits.prices
        ),
        **changes,
    )


@pytest.mark.parametrize('seed', SEEDS)
def test_bursts_beyond_the_capacity_get_more_engines_in_time(seed):
    """Load: bursts that need twice the engines that are there."""
    scaled = run_bursts(BurstScaling(), 2, 120, seed)
    fixed = run_bursts(FixedScaling(), 2, 120, seed)
    assert fixed.late > 0.2 * fixed.done
    assert scaled.late < 0.01 * scaled.done


@pytest.mark.parametrize('seed', SEEDS)
def test_capacity_is_held_between_bursts(seed):
    """Load: bursts of equal size with idle seconds in between."""
    simulation = Simulation(BurstScaling(), 5)
    needed = count_needed_engines(make_demand(100))
    simulation.run(30, make_bursts(100, 110, seed, every=10))
    orders = len(simulation.orders)
    simulation.run(120, make_bursts(100, 110, seed, every=10))
    assert simulation.count() >= 1.3 * needed
    assert simulation.late == 0
    assert len(simulation.orders) - orders <= 3


def test_average_load_does_not_decide():
    """Load: one burst a minute, which needs as much as one each 4 s."""
    rare = count_needed_engines(make_demand(120))
    simulation = Simulation(BurstScaling(), 1)
    simulation.run(130, make_bursts(120, 120, every=60))
    assert simulation.count() >= rare


def test_one_long_text_needs_one_engine():
    """Load: a text that can't be ready in time on any number of engines."""
    demand = Demand((TaskDemand(90_000, 7.5),), 0.0007, 6)
    assert count_needed_engines(demand) == 1


def test_engines_are_never_more_than_one_for_each_slot_of_work():
    """Load: tasks that are all late; the number must have a bound."""
    demand = make_demand(60, tokens=6000, seconds_left=-5)
    assert count_needed_engines(demand) == 10


def test_slow_engines_are_matched_by_more_of_them():
    """Load: a burst while all engines need 2.2 times as long per token."""
    burst = make_demand(120).tasks
    quick = count_needed_engines(Demand(burst, 0.0007, 6))
    slow = count_needed_engines(Demand(burst, 0.0015, 6))
    assert slow >= 2 * quick


@pytest.mark.parametrize('seed', SEEDS)
def test_excess_is_removed_slowly_and_costs_less_than_the_baseline(seed):
    """Load: small bursts at a fleet for large ones."""
    scaled = run_bursts(BurstScaling(), 9, 400, seed, 10, 20)
    fixed = run_bursts(FixedScaling(), 9, 400, seed, 10, 20)
    assert scaled.late == fixed.late == 0
    assert scaled.cost < 0.7 * fixed.cost
    assert scaled.orders[0][0] >= 60
    assert len(scaled.orders) < 50


def test_a_pause_shorter_than_the_window_changes_nothing():
    """Load: bursts that stop for 50 s and come back."""
    simulation = run_bursts(BurstScaling(), 6, 100, smallest=150)
    engines = simulation.count()
    simulation.run(50)
    assert simulation.count() == engines


@pytest.mark.parametrize('seed', SEEDS)
def test_a_data_centre_that_is_reclaimed_makes_no_result_late(seed):
    """Load: bursts while the spot replicas of one data centre go at once."""
    simulation = run_bursts(BurstScaling(), 2, 60, seed)
    late = simulation.late
    spot = {name: simulation.count(name, is_spot=True) for name in PRICES}
    most = max(spot, key=lambda name: spot[name])
    assert spot[most] > 0
    orders = len(simulation.orders)
    simulation.reclaim(most)
    simulation.run(11, make_bursts(40, 170, seed))
    ordered = {
        target.data_centre
        for _, target in simulation.orders[orders:]
        if target.is_spot
    }
    assert most not in ordered
    assert simulation.late - late <= 2


@pytest.mark.parametrize('seed', SEEDS)
def test_spot_replicas_of_one_data_centre_are_a_reserve(seed):
    """Load: bursts; any data centre may lose its spot replicas next."""
    simulation = run_bursts(BurstScaling(), 1, 60, seed)
    peak = simulation.decisions[-1].peak
    spot = [simulation.count(name, is_spot=True) for name in PRICES]
    assert min(spot) > 0
    assert simulation.count() - max(spot) >= 1.15 * peak


@pytest.mark.parametrize('seed', SEEDS)
def test_regular_replicas_replace_spot_ones_that_are_nowhere(seed):
    """Load: bursts while all spot replicas go and none are to be had."""
    simulation = run_bursts(BurstScaling(), 2, 60, seed)
    late, done = simulation.late, simulation.done
    for name in PRICES:
        simulation.reclaim(name, dry_seconds=200)
    simulation.run(60, make_bursts(40, 170, seed))
    assert simulation.count(is_spot=True) == 0
    peak = simulation.decisions[-1].peak
    assert simulation.count() >= 1.15 * peak
    assert simulation.late - late <= 0.05 * (simulation.done - done)


def test_no_order_while_nothing_is_known():
    """Load: unknown, as after a change of the holder."""
    simulation = Simulation(BurstScaling(), 1)
    simulation.is_known = False
    simulation.run(100, make_bursts(150, 170))
    assert not simulation.orders


def test_a_new_holder_removes_nothing_before_it_has_seen_a_window():
    """Load: none yet, at a fleet for large bursts."""
    policy = BurstScaling()
    state = make_state(regular=9, demand=make_demand(0))
    assert not policy.decide(state).targets
    later = make_state(now=59, regular=9, demand=make_demand(0))
    assert not policy.decide(later).targets


def test_replicas_that_run_tasks_are_kept():
    """Load: long texts that occupy all engines, with time to spare."""
    policy = BurstScaling()
    pools = PoolState(serving=8, running=48)
    for now in range(0, 100, 2):
        state = ServiceState(
            now,
            LIMITS,
            make_demand(144, tokens=10, seconds_left=600),
            tuple(DataCentreState(name, pools) for name in PRICES),
        )
        assert not policy.decide(state).targets


def test_limits_hold_for_both_kinds_together():
    """Load: bursts for more engines than the limits allow."""
    limits = ScalingLimits(1, 3, 4, 0.22, PRICES)
    simulation = Simulation(BurstScaling(), 1, limits)
    simulation.run(30, make_bursts(150, 170))
    assert all(simulation.count(name) == 3 for name in PRICES)


def test_numbers_follow_limits_that_are_changed():
    """Load: none; the operators raise the minimum, and lower the maximum."""
    raised = ScalingLimits(3, 9, 4, 0.22, PRICES)
    lowered = ScalingLimits(0, 2, 4, 0.22, PRICES)
    state = make_state(regular=1, spot=1, demand=make_demand(0), limits=raised)
    more = BurstScaling().decide(state)
    state = make_state(regular=2, spot=2, demand=make_demand(0), limits=lowered)
    fewer = BurstScaling().decide(state)
    assert {target.count for target in more.targets} == {2}
    assert all(not target.is_spot for target in more.targets)
    assert {target.count for target in fewer.targets} == {0}
    assert all(target.is_spot for target in fewer.targets)


def test_spot_replicas_in_a_single_data_centre_are_not_relied_on():
    """Load: a burst where two of three data centres have no spot replicas."""
    blocked = PoolState(is_blocked=True)
    state = ServiceState(
        0,
        LIMITS,
        make_demand(120),
        (
            DataCentreState('north', PoolState(serving=1), blocked),
            DataCentreState('south', PoolState(serving=1), PoolState()),
            DataCentreState(EXPENSIVE, PoolState(serving=1), blocked),
        ),
    )
    targets = BurstScaling().decide(state).targets
    assert targets
    assert not any(target.is_spot for target in targets)


def test_work_that_would_be_lost_gets_regular_replicas():
    """Load: a burst at a service whose requests don't survive a loss."""
    state = make_state(demand=make_demand(120), allows_spot=False)
    targets = BurstScaling().decide(state).targets
    assert targets
    assert not any(target.is_spot for target in targets)


def test_the_dearest_data_centre_is_reduced_first():
    """Load: none for a window, at equal numbers in all data centres."""
    policy = BurstScaling()
    decisions = [
        policy.decide(make_state(now, regular=4, demand=make_demand(0)))
        for now in range(100)
    ]
    first = next(decision for decision in decisions if decision.targets)
    assert first.targets[-1].data_centre == EXPENSIVE


def test_orders_are_few_under_steady_load():
    """Load: half an hour of bursts of random size."""
    simulation = run_bursts(BurstScaling(), 4, 1800)
    assert len(simulation.orders) < 60
