"""Steps under drawn interleavings of faults, on the manual clock."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from ladder_core.errors import LadderError
from ladder_node.steps.tests.fakes import (
    bound,
    make_pull,
    make_spec,
    run_world,
)

BOUND = 1
GROUPS = 5
MAX_ROUNDS = 400


class Trainer:
    """Holds what it received and checks each group."""

    def __init__(self, world):
        self.world = world
        self.node = world.nodes[0]
        self.version = 0
        self.held = {}
        self.loses_answer = False
        self.unreachable = ''

    async def pull(self):
        try:
            runner = await self.node.open(
                make_spec(groups=GROUPS),
                self.unreachable,
            )
        except LadderError:
            self.switch()
            return
        pull = make_pull(self.version, tuple(self.held), 2)
        task = asyncio.create_task(runner.pull(pull, bound(BOUND)))
        await self.world.timers.advance(2)
        try:
            self.take((await task).groups)
        except LadderError:
            self.switch()

    def take(self, groups):
        if self.loses_answer:
            self.loses_answer = False
            self.switch()
            return
        for group in groups:
            assert group.index not in self.held
            assert self.version - group.oldest_version <= BOUND
            assert [one.index for one in group.samples] == [0, 1]
            self.held[group.index] = group

    def switch(self):
        self.unreachable = self.node.address
        index = self.world.nodes.index(self.node)
        self.node = self.world.nodes[index - 1]


async def wait(world, trainer):
    """Let a pull pass without a fault."""


async def publish(world, trainer):
    for name in world.engines.versions:
        world.engines.versions[name] = trainer.version + 1


async def move_on(world, trainer):
    trainer.version = max(world.engines.versions.values())


async def switch(world, trainer):
    trainer.switch()


async def lose_answer(world, trainer):
    trainer.loses_answer = True


async def lose_engine(world, trainer):
    world.engines.losing.add('e1')


async def slow_engine(world, trainer):
    world.engines.slow['e2'] = 9


async def mend_engines(world, trainer):
    world.engines.slow.clear()
    world.engines.losing.clear()
    world.engines.failing.clear()


async def cut_store(world, trainer):
    world.cut_store()


async def mend_store(world, trainer):
    world.cut_store(is_out=False)


async def lose_commit(world, trainer):
    world.table.losing += 1


async def freeze(world, trainer):
    await trainer.node.freeze()


async def fail_prompt(world, trainer):
    world.engines.failing['p1'] = RuntimeError('defect')


FAULTS = (
    wait,
    publish,
    move_on,
    switch,
    lose_answer,
    lose_engine,
    slow_engine,
    mend_engines,
    cut_store,
    mend_store,
    lose_commit,
    freeze,
    fail_prompt,
)


async def run_schedule(faults):
    async with run_world(nodes=2, batch_limit=2) as world:
        trainer = Trainer(world)
        for fault in faults:
            await fault(world, trainer)
            await trainer.pull()
        await mend_engines(world, trainer)
        rounds = 0
        while len(trainer.held) < GROUPS:
            rounds += 1
            assert rounds < MAX_ROUNDS, 'the step never became whole'
            await trainer.pull()


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(FAULTS), max_size=14))
def test_step_is_whole_once_and_within_its_bound_under_drawn_faults(faults):
    asyncio.run(run_schedule(faults))
