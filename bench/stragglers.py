"""
Comparison of step times with and without hedging of stragglers.

The engines are simulated in this process and run in real time; the rest is
code of the node. One in ten samples is twenty times as long as the others.
"""

import asyncio
import statistics
import sys
import time
from dataclasses import dataclass

import numpy as np
from loguru import logger

from bench.local_targets import LocalEngines, LocalScorer
from ladder_clients.transport import HttpClient
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import SystemTimerService
from ladder_core.values import Allowance, HostEntry, HostKind
from ladder_node.dispatch import GenerationDispatcher, ServiceDispatcher
from ladder_node.steps import (
    HeldGroups,
    Pull,
    RunnerFactory,
    StepCapacity,
    StepSpec,
)
from ladder_node.targets import TargetTable
from ladder_policy.routing import LeastLoadedChooser
from ladder_policy.stragglers import HedgePolicy, StragglerPolicy, WaitPolicy

_SEED_COUNT = 8
_ENGINE_COUNT = 4
_TOKENS_PER_SECOND = 400
_SLOW_RATIO = 5
_GROUP_COUNT = 40
_GROUP_SIZE = 4
_P95 = 95
_MAX_EVENTS = 100_000


@dataclass(frozen=True, slots=True)
class StepResult:
    """
    Duration of one step and number of its hedged samples.

    Attributes
    ----------
    seconds : float
        Time from the start of the step until its last group.
    hedges, hedge_wins : int
        Number of hedged samples, and of those whose second run finished
        before the first.

    """

    seconds: float
    hedges: int
    hedge_wins: int


async def run_step(
    policy: StragglerPolicy,
    speeds: dict[str, float],
    seed: int,
) -> StepResult:
    """Run one step and return its duration and hedged samples."""
    timers = SystemTimerService()
    timeline = Timeline('bench', HybridClock(timers), _MAX_EVENTS)
    targets = TargetTable(timers, timeline)
    engines = LocalEngines(speeds, seed)
    targets.update_hosts(
        [
            *(_make_entry(name, HostKind.engine) for name in speeds),
            _make_entry('scorer', HostKind.scorer),
        ],
    )
    for name in speeds:
        targets.update_state(name, await engines.read_state(name))
    generations = GenerationDispatcher(
        targets,
        engines,
        LeastLoadedChooser(),
        timers,
    )
    factory = RunnerFactory(
        generations,
        ServiceDispatcher(targets, LocalScorer(HttpClient())),
        StepCapacity(targets),
        timers,
        timeline,
        policy,
    )
    prompts = tuple(f'night {index}' for index in range(_GROUP_COUNT))
    spec = StepSpec('p', 't', seed, 'cask', prompts, _GROUP_SIZE, 4096)
    runner = factory.make(spec, Allowance('p', ('brewmind',)))
    started_at = time.monotonic()
    await runner.start()
    held_bits = 0
    while held_bits.bit_count() < _GROUP_COUNT:
        handover = await runner.pull(
            Pull(0, HeldGroups(held_bits), 30), _read_bound
        )
        for group in handover.groups:
            held_bits |= 1 << group.index
    seconds = time.monotonic() - started_at
    await runner.close()
    await generations.close()
    kinds = [event.kind for event in timeline.read(HybridTime(), _MAX_EVENTS)]
    return StepResult(
        seconds, kinds.count('sample-hedged'), kinds.count('hedge-won')
    )


async def measure() -> None:
    """Run both policies with all seeds and print a table."""
    equal_speeds = {
        f'e{index}': float(_TOKENS_PER_SECOND) for index in range(_ENGINE_COUNT)
    }
    speeds_with_slow = {**equal_speeds, 'e0': _TOKENS_PER_SECOND / _SLOW_RATIO}
    print('engines  policy  step p50 s  p95 s  hedges  won')
    for label, speeds in (
        ('alike', equal_speeds),
        ('one slow', speeds_with_slow),
    ):
        for name, policy in (('wait', WaitPolicy()), ('hedge', HedgePolicy())):
            runs = [
                await run_step(policy, speeds, seed)
                for seed in range(_SEED_COUNT)
            ]
            times = [run.seconds for run in runs]
            print(
                f'{label:8} {name:6} {statistics.median(times):10.2f} '
                f'{np.percentile(times, _P95):6.2f} '
                f'{sum(run.hedges for run in runs):6d} '
                f'{sum(run.hedge_wins for run in runs):5d}',
                flush=True,
            )


def _read_bound() -> int:
    return 0


def _make_entry(name: str, kind: HostKind) -> HostEntry:
    pool = 'brewmind' if kind is HostKind.engine else 'scorers'
    return HostEntry(
        name,
        kind,
        name,
        'leith',
        'lowlands',
        pool=pool,
        model='cask',
    )


if __name__ == '__main__':
    logger.remove()
    logger.add(sys.stderr, level='ERROR')
    asyncio.run(measure())
