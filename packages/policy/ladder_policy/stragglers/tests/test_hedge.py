from ladder_policy.stragglers import (
    HedgePolicy,
    RunningSample,
    StepProgress,
    WaitPolicy,
)

LATE = tuple(RunningSample(index, 0, 10 + index) for index in range(4))


def choose(waiting=0, idle=9, median_seconds=1, running=LATE):
    progress = StepProgress(waiting, idle, median_seconds, 10, running)
    return [sample.group for sample in HedgePolicy().choose(progress)]


def test_longest_running_samples_take_the_idle_slots():
    assert choose(idle=2) == [3, 2]


def test_nothing_is_hedged_while_samples_wait_or_no_slot_is_idle():
    assert choose(waiting=1) == []
    assert choose(idle=0) == []
    assert choose(idle=-3) == []


def test_nothing_is_hedged_before_a_sample_has_finished():
    assert choose(median_seconds=0) == []


def test_long_sample_on_a_fast_engine_is_left_there():
    assert choose(running=(RunningSample(0, 0, 20, tokens=200),)) == []
    assert choose(running=(RunningSample(0, 0, 20, tokens=20),)) == [0]


def test_hedged_sample_is_not_hedged_again():
    assert choose(running=(RunningSample(0, 0, 99, runs=2),)) == []


def test_last_members_of_a_group_come_first():
    hedge = HedgePolicy()
    assert hedge.adjust_priority(1, 8) < hedge.adjust_priority(8, 8)
    wait = WaitPolicy()
    assert wait.adjust_priority(1, 8) == wait.adjust_priority(8, 8)
