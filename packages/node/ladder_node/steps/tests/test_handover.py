import asyncio

import pytest

from ladder_core.errors import BadRequestError, NotReadyError
from ladder_node.steps import HeldGroups
from ladder_node.steps.errors import PullSupersededError, StepClosedError
from ladder_node.steps.tests.fakes import (
    bound,
    make_pull,
    make_spec,
    pull_all,
    run_cluster,
)


def list_versions(groups):
    """Return the distinct (version, tokens) sequences of all samples."""
    return {
        tuple((span.version, span.tokens) for span in sample.spans)
        for group in groups
        for sample in group.samples
    }


async def test_sample_across_a_swap_names_both_versions():
    async with run_cluster() as cluster:
        runner = await cluster.open(make_spec(groups=1))
        await cluster.timers.advance(2)
        cluster.engines.versions = {'e1': 1, 'e2': 1}
        await cluster.timers.advance(9)
        handover = await runner.pull(make_pull(1), bound(1))
        assert list_versions(handover.groups) == {((0, 4), (1, 4))}


async def test_sample_resumed_on_another_engine_names_both_versions():
    async with run_cluster() as cluster:
        cluster.engines.versions = {'e1': 3, 'e2': 4}
        runner = await cluster.open(make_spec(groups=1, size=1))
        await cluster.timers.advance(2)
        cluster.engines.lost.add('e1')
        await cluster.timers.advance(9)
        handover = await runner.pull(make_pull(4), bound(1))
        assert list_versions(handover.groups) == {((3, 4), (4, 4))}
        assert cluster.engines.started[-1].prefix_tokens == 4


async def test_samples_too_old_for_the_stated_version_are_made_again():
    async with run_cluster() as cluster:
        runner = await cluster.open(make_spec())
        await cluster.timers.advance(9)
        cluster.engines.versions = {'e1': 3, 'e2': 3}
        groups = await pull_all(cluster, runner, version=3, versions=2)
        assert list_versions(groups.values()) == {((3, 8),)}
        assert cluster.list_kinds().count('sample-too-old') == 4


async def test_group_finished_while_a_pull_waits_is_judged_by_its_version():
    async with run_cluster() as cluster:
        runner = await cluster.open(make_spec())
        await cluster.timers.advance(1)
        pull = asyncio.create_task(
            runner.pull(make_pull(3, wait_seconds=6), bound(2)),
        )
        await cluster.timers.advance(7)
        handover = await pull
        assert not handover.groups
        assert handover.remaining == 2
        cluster.engines.versions = {'e1': 3, 'e2': 3}
        groups = await pull_all(cluster, runner, version=3, versions=2)
        assert list_versions(groups.values()) == {((3, 8),)}


async def test_generation_ends_as_soon_as_a_token_is_too_old():
    async with run_cluster() as cluster:
        runner = await cluster.open(make_spec(groups=1, size=1))
        await cluster.timers.advance(1)
        await runner.pull(make_pull(9), bound(2))
        await cluster.timers.advance(1)
        assert 'sample-too-old' in cluster.list_kinds()
        assert sum(cluster.engines.running.values()) == 0


async def test_superseded_pull_gets_nothing_by_its_older_version():
    async with run_cluster() as cluster:
        runner = await cluster.open(make_spec(groups=1))
        older = asyncio.create_task(
            runner.pull(make_pull(0, wait_seconds=30), bound(2)),
        )
        await cluster.timers.advance(1)
        newer = asyncio.create_task(
            runner.pull(make_pull(5, wait_seconds=30), bound(2)),
        )
        await cluster.timers.settle()
        assert older.done()
        with pytest.raises(PullSupersededError):
            await older
        newer.cancel()


async def test_bound_tightened_while_a_pull_waits_is_in_force():
    bounds = [9]
    async with run_cluster() as cluster:
        runner = await cluster.open(make_spec(groups=1))
        pull = asyncio.create_task(
            runner.pull(make_pull(5, wait_seconds=5), lambda: bounds[0]),
        )
        await cluster.timers.advance(1)
        bounds[0] = 2
        await cluster.timers.advance(5)
        assert not (await pull).groups


async def test_lost_answer_is_given_again_and_a_held_group_is_not():
    async with run_cluster() as cluster:
        runner = await cluster.open(make_spec())
        await cluster.timers.advance(9)
        first = await runner.pull(make_pull(), bound(1))
        again = await runner.pull(make_pull(), bound(1))
        assert first == again
        rest = await runner.pull(make_pull(held=(0,)), bound(1))
        assert [group.index for group in rest.groups] == [1]
        done = await runner.pull(make_pull(held=(0, 1)), bound(1))
        assert not done.groups
        assert not done.remaining


async def test_trainer_that_lost_held_groups_gets_them_again():
    async with run_cluster() as cluster:
        runner = await cluster.open(make_spec())
        await cluster.timers.advance(9)
        await runner.pull(make_pull(held=(0, 1)), bound(1))
        assert set(await pull_all(cluster, runner)) == {0, 1}


async def test_close_ends_a_waiting_pull_at_once_with_a_typed_error():
    async with run_cluster() as cluster:
        runner = await cluster.open(make_spec())
        pull = asyncio.create_task(
            runner.pull(make_pull(wait_seconds=30), bound(1)),
        )
        await cluster.timers.settle()
        await cluster.registry.close_step('cask-notes', 0)
        await cluster.timers.settle()
        assert pull.done()
        with pytest.raises(StepClosedError):
            await pull


async def test_stop_of_the_node_sends_a_waiting_pull_elsewhere():
    async with run_cluster() as cluster:
        runner = await cluster.open(make_spec())
        pull = asyncio.create_task(
            runner.pull(make_pull(wait_seconds=30), bound(1)),
        )
        await cluster.timers.settle()
        await runner.close()
        await runner.close()
        await cluster.timers.settle()
        assert pull.done()
        with pytest.raises(NotReadyError, match='another entry host'):
            await pull
        assert cluster.list_kinds().count('step-ended') == 1


@pytest.mark.parametrize('text', ['-1', '0x1', '1_0', ' 1', 'g', '+1'])
def test_held_that_is_no_plain_hexadecimal_number_is_refused(text):
    with pytest.raises(BadRequestError, match='hexadecimal'):
        HeldGroups.parse(text)


async def test_held_with_groups_that_the_step_has_not_is_refused():
    async with run_cluster() as cluster:
        runner = await cluster.open(make_spec(groups=2))
        with pytest.raises(BadRequestError, match='group 2'):
            await runner.pull(make_pull(held=(2,)), bound(1))
