"""Steps under random interleavings of faults, on the manual clock."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from ladder_core.errors import LadderError
from ladder_node.steps.tests.fakes import (
    bound,
    make_pull,
    make_spec,
    run_cluster,
)

BOUND = 1
GROUPS = 5
MAX_ROUNDS = 400


class Trainer:
    """Pulls a step and checks each group that it receives."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.node = cluster.nodes[0]
        self.version = 0
        self.held = {}
        self.loses_answer = False
        self.unreachable_address = ''

    async def pull(self):
        try:
            runner = await self.node.open(
                make_spec(groups=GROUPS),
                self.unreachable_address,
            )
        except LadderError:
            self.switch()
            return
        pull = make_pull(self.version, tuple(self.held), 2)
        task = asyncio.create_task(runner.pull(pull, bound(BOUND)))
        await self.cluster.timers.advance(2)
        try:
            self.receive((await task).groups)
        except LadderError:
            self.switch()

    def receive(self, groups):
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
        self.unreachable_address = self.node.address
        index = self.cluster.nodes.index(self.node)
        self.node = self.cluster.nodes[index - 1]


async def wait(cluster, trainer):
    """Inject no fault before the next pull."""


async def publish(cluster, trainer):
    for name in cluster.engines.versions:
        cluster.engines.versions[name] = trainer.version + 1


async def adopt_latest_version(cluster, trainer):
    trainer.version = max(cluster.engines.versions.values())


async def switch(cluster, trainer):
    trainer.switch()


async def lose_answer(cluster, trainer):
    trainer.loses_answer = True


async def lose_engine(cluster, trainer):
    cluster.engines.lost.add('e1')


async def slow_engine(cluster, trainer):
    cluster.engines.slow['e2'] = 9


async def repair_engines(cluster, trainer):
    cluster.engines.slow.clear()
    cluster.engines.lost.clear()
    cluster.engines.failing.clear()


async def disconnect_store(cluster, trainer):
    cluster.disconnect_store()


async def reconnect_store(cluster, trainer):
    cluster.disconnect_store(is_down=False)


async def lose_commit(cluster, trainer):
    cluster.table.lost_answers += 1


async def pause(cluster, trainer):
    await trainer.node.pause()


async def fail_prompt(cluster, trainer):
    cluster.engines.failing['p1'] = RuntimeError('defect')


FAULTS = (
    wait,
    publish,
    adopt_latest_version,
    switch,
    lose_answer,
    lose_engine,
    slow_engine,
    repair_engines,
    disconnect_store,
    reconnect_store,
    lose_commit,
    pause,
    fail_prompt,
)


async def run_schedule(faults):
    async with run_cluster(nodes=2, batch_limit=2) as cluster:
        trainer = Trainer(cluster)
        for fault in faults:
            await fault(cluster, trainer)
            await trainer.pull()
        await repair_engines(cluster, trainer)
        rounds = 0
        while len(trainer.held) < GROUPS:
            rounds += 1
            assert rounds < MAX_ROUNDS, 'the trainer did not receive all groups'
            await trainer.pull()


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(FAULTS), max_size=14))
def test_step_is_whole_once_and_within_its_bound_under_drawn_faults(faults):
    asyncio.run(run_schedule(faults))
