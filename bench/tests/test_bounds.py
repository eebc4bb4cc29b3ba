import pytest

from bench.bounds import Capacity, TrainerWorkload, find_unavoidable_share

_CAPACITY = Capacity(tokens_per_second=100, stream_tokens_per_second=10)


def test_longest_sample_bounds_a_step():
    workload = TrainerWorkload(
        ((100, 10),), train_seconds=10, opens_ahead=False
    )
    assert find_unavoidable_share([workload], _CAPACITY) == pytest.approx(0.5)


def test_training_hides_the_generation_opened_ahead():
    steps = ((100,), (100,), (100,))
    workload = TrainerWorkload(steps, train_seconds=10, opens_ahead=True)
    assert find_unavoidable_share([workload], _CAPACITY) == pytest.approx(0.25)


def test_trainers_that_share_engines_wait_for_each_other():
    step = tuple(10 for _ in range(100))
    workload = TrainerWorkload((step,), train_seconds=0, opens_ahead=False)
    busy = TrainerWorkload((step,), train_seconds=10, opens_ahead=False)
    alone = find_unavoidable_share([busy], _CAPACITY)
    shared = find_unavoidable_share([workload, busy], _CAPACITY)
    assert alone == pytest.approx(0.5)
    assert shared == pytest.approx(20 / 30)
