from ladder_core.errors import TargetLostError
from ladder_node.steps.tests.fakes import (
    bound,
    make_pull,
    make_spec,
    run_world,
)

SLOW = 30


async def pull(runner):
    return await runner.pull(make_pull(), bound(1))


async def test_straggler_goes_on_at_an_idle_engine_and_is_handed_over_once():
    async with run_world() as world:
        world.engines.slow['e1'] = SLOW
        runner = await world.open(make_spec(groups=1, size=4))
        await world.timers.advance(SLOW + 9)
        handover = await pull(runner)
        assert len(handover.groups) == 1
        assert 'hedge-won' in world.list_kinds()
        tokens = [
            sum(span.tokens for span in sample.spans)
            for sample in handover.groups[0].samples
        ]
        assert tokens == [8, 8, 8, 8]
        assert set(world.engines.running.values()) == {0}
        assert 'sample-failed' not in world.list_kinds()


async def test_hedge_carries_the_prefix_and_its_versions_over():
    async with run_world() as world:
        world.engines.slow['e1'] = 5
        world.engines.versions = {'e1': 3, 'e2': 4}
        runner = await world.open(make_spec(groups=1, size=4))
        await world.timers.advance(15)
        resumed = [one for one in world.engines.started if one.prefix_tokens]
        assert len(resumed) == 2
        versions = {
            tuple(span.version for span in sample.spans)
            for sample in (await pull(runner)).groups[0].samples
        }
        assert versions == {(4,), (3, 4)}


async def test_hedge_that_fails_leaves_the_first_run_alone():
    async with run_world() as world:
        world.engines.slow['e1'] = 5
        runner = await world.open(make_spec(groups=1, size=4))
        await world.timers.advance(7)
        world.engines.losing.add('e2')
        await world.timers.advance(3)
        assert 'sample-hedged' in world.list_kinds()
        await world.timers.advance(12)
        assert len((await pull(runner)).groups) == 1
        assert 'hedge-won' not in world.list_kinds()


async def test_first_run_that_fails_leaves_the_hedge_alone():
    async with run_world() as world:
        world.engines.slow['e1'] = SLOW
        runner = await world.open(make_spec(groups=1, size=4))
        await world.timers.advance(9)
        world.engines.failing['p0'] = TargetLostError('lost', remedy='retry')
        world.engines.losing.add('e1')
        await world.timers.advance(SLOW)
        assert len((await pull(runner)).groups) == 1


async def test_nothing_is_hedged_while_samples_wait():
    async with run_world(batch_limit=1) as world:
        world.engines.slow['e1'] = SLOW
        await world.open(make_spec(groups=8, size=4))
        await world.timers.advance(SLOW)
        assert 'sample-hedged' not in world.list_kinds()


async def test_straggler_gets_no_second_run_on_its_own_engine():
    async with run_world() as world:
        world.engines.slow['e1'] = SLOW
        await world.open(make_spec(groups=1, size=4))
        await world.timers.advance(5)
        world.targets.mark_leaving('e2')
        await world.timers.advance(9)
        assert 'sample-hedged' in world.list_kinds()
        assert len(world.engines.started) == 4
