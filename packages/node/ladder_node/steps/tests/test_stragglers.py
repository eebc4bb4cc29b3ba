from ladder_core.errors import TargetLostError
from ladder_node.steps.tests.fakes import (
    bound,
    make_pull,
    make_spec,
    run_cluster,
)

SLOW = 30


async def pull(runner):
    return await runner.pull(make_pull(), bound(1))


async def test_straggler_goes_on_at_an_idle_engine_and_is_handed_over_once():
    async with run_cluster() as cluster:
        cluster.engines.slow['e1'] = SLOW
        runner = await cluster.open(make_spec(groups=1, size=4))
        await cluster.timers.advance(SLOW + 9)
        handover = await pull(runner)
        assert len(handover.groups) == 1
        assert 'hedge-won' in cluster.list_kinds()
        tokens = [
            sum(span.tokens for span in sample.spans)
            for sample in handover.groups[0].samples
        ]
        assert tokens == [8, 8, 8, 8]
        assert set(cluster.engines.running.values()) == {0}
        assert 'sample-failed' not in cluster.list_kinds()


async def test_hedge_carries_the_prefix_and_its_versions_over():
    async with run_cluster() as cluster:
        cluster.engines.slow['e1'] = 5
        cluster.engines.versions = {'e1': 3, 'e2': 4}
        runner = await cluster.open(make_spec(groups=1, size=4))
        await cluster.timers.advance(15)
        resumed = [one for one in cluster.engines.started if one.prefix_tokens]
        assert len(resumed) == 2
        versions = {
            tuple(span.version for span in sample.spans)
            for sample in (await pull(runner)).groups[0].samples
        }
        assert versions == {(4,), (3, 4)}


async def test_hedge_that_fails_leaves_the_first_run_alone():
    async with run_cluster() as cluster:
        cluster.engines.slow['e1'] = 5
        runner = await cluster.open(make_spec(groups=1, size=4))
        await cluster.timers.advance(7)
        cluster.engines.lost.add('e2')
        await cluster.timers.advance(3)
        assert 'sample-hedged' in cluster.list_kinds()
        await cluster.timers.advance(12)
        assert len((await pull(runner)).groups) == 1
        assert 'hedge-won' not in cluster.list_kinds()


async def test_first_run_that_fails_leaves_the_hedge_alone():
    async with run_cluster() as cluster:
        cluster.engines.slow['e1'] = SLOW
        runner = await cluster.open(make_spec(groups=1, size=4))
        await cluster.timers.advance(9)
        cluster.engines.failing['p0'] = TargetLostError('lost', remedy='retry')
        cluster.engines.lost.add('e1')
        await cluster.timers.advance(SLOW)
        assert len((await pull(runner)).groups) == 1


async def test_nothing_is_hedged_while_samples_wait():
    async with run_cluster(batch_limit=1) as cluster:
        cluster.engines.slow['e1'] = SLOW
        await cluster.open(make_spec(groups=8, size=4))
        await cluster.timers.advance(SLOW)
        assert 'sample-hedged' not in cluster.list_kinds()


async def test_straggler_gets_no_second_run_on_its_own_engine():
    async with run_cluster() as cluster:
        cluster.engines.slow['e1'] = SLOW
        await cluster.open(make_spec(groups=1, size=4))
        await cluster.timers.advance(5)
        cluster.targets.mark_leaving('e2')
        await cluster.timers.advance(9)
        assert 'sample-hedged' in cluster.list_kinds()
        assert len(cluster.engines.started) == 4
