"""
Scheduling decisions under load patterns of busy days.

The patterns of whole steps are simulated in memory: a task occupies a slot for
its duration, and the measure is the share of groups that are complete in time,
as trainers see it. The other tests check single decisions.
"""

import heapq
import random
from dataclasses import dataclass

import pytest

from ladder_policy.scheduling import (
    EngineStatus,
    EngineTokenTime,
    EngineView,
    FleetTokenTime,
    ModelNeed,
    RunView,
    TaskView,
    assign_homes,
    choose_engine,
    order_tasks,
    plan_loads,
    should_move,
)

DUE = 7.5
SEEDS = range(12)


@dataclass
class Task:
    key: str
    group: str
    seconds: float
    hint: float
    arrived_at: float
    due: float


def test_order_is_the_same_for_any_order_of_the_input():
    views = [
        TaskView(str(number), str(number % 3), 7.5, number / 2)
        for number in range(12)
    ]
    reversed_views = list(reversed(views))
    assert order_tasks(reversed_views, now=0) == order_tasks(views, now=0)


def draw_steps(seed, steps, groups, size, every):
    """Draw steps with heavy-tailed durations and inaccurate length hints."""
    rng = random.Random(seed)
    tasks = []
    for step in range(steps):
        arrived_at = step * every
        for number in range(groups * size):
            seconds = min(rng.lognormvariate(-0.2, 0.7), 7)
            if rng.random() < 0.08:
                seconds = min(5 * seconds, 7)
            hint = seconds * rng.lognormvariate(0, 0.5)
            group = f'{step}/{number // size}'
            key = f'{group}/{number}'
            tasks.append(
                Task(key, group, seconds, hint, arrived_at, arrived_at + DUE)
            )
    return tasks


def simulate(tasks, slots, order):
    """Return the share of groups that are complete in time."""
    ends = {}
    free: list[float] = [0 for _ in range(slots)]
    waiting = sorted(tasks, key=lambda task: task.arrived_at)
    while waiting:
        now = heapq.heappop(free)
        present = [task for task in waiting if task.arrived_at <= now]
        if not present:
            heapq.heappush(free, min(task.arrived_at for task in waiting))
            continue
        chosen = order(present, now)
        waiting.remove(chosen)
        ends[chosen.key] = now + chosen.seconds
        heapq.heappush(free, now + chosen.seconds)
    groups: dict[str, bool] = {}
    for task in tasks:
        in_time = ends[task.key] <= task.due
        groups[task.group] = groups.get(task.group, True) and in_time
    return sum(groups.values()) / len(groups)


def find_chosen(engines, tokens, seconds_left, fastest_token_seconds=0.001):
    """Return the name of the chosen engine, or None if the task waits."""
    chosen = choose_engine(engines, tokens, seconds_left, fastest_token_seconds)
    return chosen.name if chosen else None


def take_first(present, now):
    return present[0]


def take_in_order(present, now):
    views = [
        TaskView(task.key, task.group, task.due, task.hint) for task in present
    ]
    key = order_tasks(views, now)[0].key
    return next(task for task in present if task.key == key)


def compare(steps, groups, size, every, slots):
    shares = []
    for order in (take_first, take_in_order):
        shares_in_time = [
            simulate(draw_steps(seed, steps, groups, size, every), slots, order)
            for seed in SEEDS
        ]
        shares.append(sum(shares_in_time) / len(shares_in_time))
    return shares


def test_pattern_three_steps_at_once_on_a_third_of_the_slots():
    baseline, chosen = compare(steps=3, groups=4, size=8, every=0, slots=28)
    assert chosen > baseline + 0.05


def test_pattern_steps_in_turn_on_slots_that_are_nearly_all_taken():
    baseline, chosen = compare(steps=8, groups=4, size=8, every=4, slots=12)
    assert chosen > baseline + 0.05


def test_pattern_steps_in_turn_on_too_few_slots():
    baseline, chosen = compare(steps=8, groups=4, size=8, every=4, slots=9)
    assert chosen > baseline + 0.1


def test_pattern_slots_for_all_makes_no_difference():
    baseline, chosen = compare(steps=4, groups=4, size=8, every=4, slots=96)
    assert chosen == pytest.approx(baseline, abs=0.01)


def test_pattern_lost_step_does_not_drag_the_next_one_along():
    """After an outage, tasks that will be late start after the others."""
    late = TaskView('late', 'a', due=3, work_seconds=5)
    fresh = TaskView('fresh', 'b', due=9, work_seconds=2)
    assert [one.key for one in order_tasks([late, fresh], now=1)] == [
        'fresh',
        'late',
    ]


def test_pattern_group_beyond_the_wanted_ones_comes_last():
    extra = TaskView('extra', 'a', due=5, work_seconds=4, is_extra=True)
    wanted = TaskView('wanted', 'b', due=9, work_seconds=1)
    assert order_tasks([extra, wanted], now=0)[0].key == 'wanted'


def test_pattern_one_engine_turns_slow():
    slow = EngineView('slow', 0.004, free_slots=8)
    quick = EngineView('quick', 0.001, free_slots=1)
    assert find_chosen([slow, quick], 1000, 7) == 'quick'
    # A long text would be late on the slow engine, so it waits for a fast one.
    assert find_chosen([slow], 2000, 6) is None
    # A short text is in time on the slow engine, too.
    assert find_chosen([slow], 200, 6) == 'slow'


def test_pattern_group_mates_share_an_engine_that_has_read_their_prompt():
    engines = [
        EngineView('cold', 0.001, free_slots=8),
        EngineView('warm', 0.001, free_slots=3, has_prefix=True),
    ]
    assert find_chosen(engines, 500, 7) == 'warm'


def test_pattern_version_named_while_runs_go_on():
    """Full homes keep the slots that become free for the tasks that wait."""
    busy = EngineStatus('busy', {'m': 1}, {'m': 8})
    need = ModelNeed('m', 2, min_version=1, waiting=4, homes=['busy'])
    assert not plan_loads([busy], [need])


def test_pattern_step_arrives_with_the_version_that_it_follows():
    """
    A step finds its homes open, on the version before.

    A trainer that is behind submits a step as soon as it has named the version
    that the step follows. If all homes load that version at once, none of its
    tasks starts for a second.
    """
    homes = ['a', 'b']
    engines = [EngineStatus(name, {'m': 4}, free_slots=8) for name in homes]
    named = ModelNeed('m', 5, homes=homes, is_settled=False)
    assert not plan_loads(engines, [named])
    arrived = ModelNeed('m', 5, min_version=4, waiting=8, homes=homes)
    assert not plan_loads(engines, [arrived])


def test_pattern_step_is_placed_and_its_homes_load_one_after_the_other():
    """Loads come when no task waits, while the texts of the step run."""
    homes = ['a', 'b']
    first = EngineStatus('a', {'m': 4}, {'m': 8})
    second = EngineStatus('b', {'m': 4}, {'m': 5}, free_slots=3)
    need = ModelNeed('m', 5, min_version=4, homes=homes)
    loads = plan_loads([first, second], [need])
    assert [(load.engine, load.reason) for load in loads] == [('a', 'ahead')]
    loading = EngineStatus('a', {'m': 4}, {'m': 8}, loading='m')
    assert not plan_loads([loading, second], [need])


def test_pattern_all_homes_are_too_old_for_the_step_that_waits():
    """Homes that can't start its tasks anyway load at once, not in turn."""
    engines = [
        EngineStatus(name, {'m': 3}, {'m': 2}, free_slots=6) for name in 'ab'
    ]
    others = [EngineStatus(name, {}, free_slots=8) for name in 'cde']
    need = ModelNeed('m', 5, min_version=4, waiting=32, homes=['a', 'b'])
    loads = plan_loads([*engines, *others], [need])
    assert {load.engine for load in loads} == {'a', 'b'}


def test_pattern_texts_of_one_version_are_not_loaded_under():
    busy = EngineStatus('busy', {'m': 4}, {'m': 2}, free_slots=6)
    need = ModelNeed('m', 5, homes=['busy'], mixes_versions=False)
    assert not plan_loads([busy], [need])


def test_pattern_step_that_allows_the_last_version_keeps_one_engine_open():
    idle = EngineStatus('idle', {'m': 1}, free_slots=8)
    need = ModelNeed('m', 2, min_version=1, waiting=8, homes=['idle'])
    assert not plan_loads([idle], [need])


def test_pattern_all_homes_lost():
    guest = EngineStatus('guest', {'m': 1, 'n': 4}, {'n': 3}, free_slots=5)
    need = ModelNeed('m', 4, min_version=3, waiting=8, homes=['lost'])
    loads = plan_loads([guest], [need])
    assert [(load.engine, load.reason) for load in loads] == [
        ('guest', 'crowded'),
    ]


def test_pattern_homes_full_and_another_engine_half_empty():
    full = EngineStatus('full', {'m': 3}, {'m': 8})
    other = EngineStatus('other', {'m': 1}, {'n': 3}, free_slots=5)
    need = ModelNeed('m', 3, min_version=3, waiting=9, homes=['full'])
    loads = plan_loads([full, other], [need])
    assert [load.engine for load in loads] == ['other']


def test_pattern_many_engines_behind_load_in_waves():
    engines = [
        EngineStatus(f'e{number}', {'m': 1}, free_slots=8)
        for number in range(10)
    ]
    homes = [engine.name for engine in engines]
    loads = plan_loads(engines, [ModelNeed('m', 2, homes=homes)])
    assert len(loads) == 4


def test_pattern_engine_that_loads_gets_no_second_order():
    loading = EngineStatus('a', {'m': 1, 'n': 1}, loading='n')
    need = ModelNeed('m', 2, homes=['a'])
    assert not plan_loads([loading], [need])


def test_pattern_engine_lost_moves_only_its_own_homes():
    demands = {'m': 2, 'n': 1, 'o': 1}
    before = assign_homes('abcdefgh', demands, {}, models_per_engine=1)
    after = assign_homes('abcdefg', demands, before, models_per_engine=1)
    moved = [
        name
        for model, homes in after.items()
        for name in homes
        if name not in before[model]
    ]
    assert len(moved) <= 1


def test_pattern_demand_shifts_towards_one_model():
    before = assign_homes('abcdef', {'m': 1, 'n': 1}, {}, models_per_engine=1)
    after = assign_homes(
        'abcdef', {'m': 3, 'n': 1}, before, models_per_engine=1
    )
    assert set(before['m']) <= set(after['m'])
    assert len(after['m']) > len(before['m'])


def test_pattern_a_third_of_the_engines_is_slower_for_good():
    """
    An engine that has been idle must not be taken for a fast one.

    It would get the longest texts of a step, which are late on a slow engine.
    """
    fleet = FleetTokenTime()
    engines = {
        name: EngineTokenTime(fleet) for name in ('quick', 'same', 'slow')
    }
    for moment in range(40):
        for name, token_time in engines.items():
            token_time.observe(
                0.00085 if name == 'slow' else 0.00065, moment / 20
            )
    idle_since = 30
    views = [
        EngineView(name, token_time.estimate(idle_since), free_slots=6)
        for name, token_time in engines.items()
        if name != 'same'
    ]
    longest = 157 * 75
    fastest_token_seconds = min(view.token_seconds for view in views)
    assert find_chosen(views, longest, 7.5, fastest_token_seconds) == 'quick'
    slow = [view for view in views if view.name == 'slow']
    assert find_chosen(slow, longest, 7.5, fastest_token_seconds) is None
    assert find_chosen(slow, longest / 3, 7.5, fastest_token_seconds) == 'slow'


def test_pattern_long_text_on_a_slow_engine_while_others_wait():
    """
    A text that would be late takes a quick slot before tasks that can wait.

    Texts that turned out long ran up to 9.7 s on an engine that is slower for
    good, because no text moved as long as any task waited for a slot.
    """
    late = RunView(tokens_left=5000, token_seconds=0.00085, seconds_left=4)
    assert should_move(late, 0.00065, is_certain=True, others_wait=True)
    in_time = RunView(tokens_left=4000, token_seconds=0.00085, seconds_left=4)
    assert not should_move(in_time, 0.00065, is_certain=True, others_wait=True)
    assert should_move(in_time, 0.00065, is_certain=True, others_wait=False)


def test_pattern_an_engine_turns_slow_and_recovers():
    fleet = FleetTokenTime()
    engines = [EngineTokenTime(fleet) for _ in range(5)]
    for moment in range(100):
        for number, token_time in enumerate(engines):
            token_time.observe(0.0025 if number == 0 else 0.0007, moment / 20)
    assert engines[0].estimate(5) > 2 * engines[1].estimate(5)
    # Once its measurements have expired, it gets short texts but no long ones.
    view = EngineView('0', engines[0].estimate(20), free_slots=6)
    assert find_chosen([view], 3000, 7.5, 0.0007) == '0'
    assert find_chosen([view], 10000, 7.5, 0.0007) is None
    for moment in range(30):
        engines[0].observe(0.0007, 20 + moment / 20)
    assert engines[0].estimate(22) == pytest.approx(0.0007, rel=0.05)


def test_pattern_all_texts_of_an_engine_halt_during_a_load():
    fleet = FleetTokenTime()
    token_time = EngineTokenTime(fleet)
    for moment in range(20):
        token_time.observe(0.0007, moment / 20)
    token_time.observe(0.0127, 2)
    assert token_time.estimate(2) < 1.6 * 2 * 0.0007


@pytest.mark.parametrize('seconds', [0.0001, 0.02])
def test_token_time_of_a_new_engine_is_that_of_the_fleet(seconds):
    fleet = FleetTokenTime()
    known = EngineTokenTime(fleet)
    for moment in range(50):
        known.observe(seconds, moment / 20)
    assert EngineTokenTime(fleet).estimate(3) == pytest.approx(
        known.estimate(3), rel=0.1
    )


@pytest.mark.parametrize('seed', range(5))
def test_pattern_gaps_that_differ_by_chance_make_no_engine_slow(seed):
    """
    Random gaps must not make engines of the same speed look different.

    If an estimate follows each gap, a text is moved again and again between
    equal engines (30 times in one case), and each move is another run.
    """
    rng = random.Random(seed)
    fleet = FleetTokenTime()
    engines = [EngineTokenTime(fleet) for _ in range(15)]
    worst = 1.0
    for moment in range(200):
        for token_time in engines:
            gap = 0.049 + rng.uniform(-0.015, 0.015)
            gap += 0.003 * rng.choice((0, 0, 0, 1, 1, 2, 4))
            token_time.observe(gap / 75, moment / 20)
        found = [token_time.estimate(moment / 20) for token_time in engines]
        if moment > 20:
            worst = max(worst, max(found) / min(found))
    assert worst < 1.2
