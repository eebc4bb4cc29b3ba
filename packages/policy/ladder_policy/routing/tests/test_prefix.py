"""Compare the policies on simulated engines with small prefix caches."""

import random
from collections import OrderedDict, deque

import pytest

from ladder_policy.routing import (
    Candidate,
    LeastLoadedChooser,
    PrefixAffinityChooser,
    RoundRobinChooser,
)

ENGINES = 8
CACHED_PROMPTS = 8
PROMPTS = 40
REQUESTS = 4000
IN_FLIGHT = 32
BATCH = 8


class Cache:
    """Prefix cache of an engine: prompts, the least recently used first."""

    def __init__(self):
        self.prompts = OrderedDict()

    def look_up(self, prompt):
        is_hit = prompt in self.prompts
        self.prompts[prompt] = None
        self.prompts.move_to_end(prompt)
        if len(self.prompts) > CACHED_PROMPTS:
            self.prompts.popitem(last=False)
        return is_hit


def run(chooser, skew=0):
    """Return the share of cache hits and the largest load of any engine."""
    rng = random.Random(7)
    caches = [Cache() for _ in range(ENGINES)]
    loads = [0 for _ in caches]
    running: deque[int] = deque()
    hits, largest = 0, 0
    for _ in range(REQUESTS):
        prompt = f'prompt {rng.randrange(PROMPTS)}'
        if rng.random() < skew:
            prompt = 'everybody asks this'
        chosen = chooser.choose(
            prompt,
            [
                Candidate(str(index), in_flight=load, batch_limit=BATCH)
                for index, load in enumerate(loads)
            ],
        )
        index = int(chosen.name)
        hits += caches[index].look_up(prompt)
        loads[index] += 1
        largest = max(largest, loads[index])
        running.append(index)
        if len(running) > IN_FLIGHT:
            loads[running.popleft()] -= 1
    return hits / REQUESTS, largest


@pytest.mark.parametrize('skew', [0, 0.5])
def test_affinity_hits_more_often_than_the_baselines(skew):
    share, _ = run(PrefixAffinityChooser(), skew)
    assert share > run(RoundRobinChooser(), skew)[0]
    assert share > run(LeastLoadedChooser(), skew)[0]


@pytest.mark.parametrize('skew', [0, 0.5, 1])
def test_affinity_keeps_the_load_bounded(skew):
    _, largest = run(PrefixAffinityChooser(), skew)
    average = (IN_FLIGHT + 1) / ENGINES
    assert largest <= 1.25 * average + 1


def test_lost_target_moves_only_its_own_prompts():
    chooser = PrefixAffinityChooser()
    idle = [Candidate(str(index), batch_limit=BATCH) for index in range(9)]
    prompts = [f'prompt {index}' for index in range(200)]
    before = [chooser.choose(prompt, idle).name for prompt in prompts]
    after = [chooser.choose(prompt, idle[1:]).name for prompt in prompts]
    moved = {old for old, new in zip(before, after, strict=True) if old != new}
    assert moved == {'0'}


def test_report_is_corrected_by_what_was_sent_since():
    stale = Candidate('a', reported_load=3, in_flight=6, in_flight_at_report=1)
    busy = Candidate('b', reported_load=7, in_flight=2, in_flight_at_report=2)
    assert stale.load == 8
    assert busy.load == 7
    assert LeastLoadedChooser().choose('', [stale, busy]) is busy
