import asyncio

import msgspec
import pytest

from ladder_core.errors import UnknownNameError
from ladder_core.values import Group
from ladder_node.steps.errors import (
    StepClosedError,
    StepContentsError,
    StepElsewhereError,
)
from ladder_node.steps.tests.fakes import (
    bound,
    make_pull,
    make_spec,
    pull_all,
    run_cluster,
)

LEASE_SECONDS = 15


async def test_pull_at_another_node_is_sent_to_the_one_that_runs_the_step():
    async with run_cluster(nodes=2) as cluster:
        first, second = cluster.nodes
        await first.open(make_spec())
        with pytest.raises(StepElsewhereError) as caught:
            await second.find()
        assert caught.value.address == first.address
        with pytest.raises(StepElsewhereError):
            await second.open(make_spec(1))


async def test_step_goes_on_at_a_node_after_the_lease_of_a_lost_one_ran_out():
    async with run_cluster(nodes=2) as cluster:
        first, second = cluster.nodes
        runner = await first.open(make_spec())
        await cluster.timers.advance(7)
        before = await runner.pull(make_pull(), bound(1))
        await first.pause()
        with pytest.raises(StepElsewhereError):
            await second.find()
        await cluster.timers.advance(LEASE_SECONDS)
        runner = await second.find()
        after = await runner.pull(make_pull(), bound(1))
        assert after.groups == before.groups
        assert 'step-taken-over' in second.list_kinds()


async def test_trainer_that_can_not_reach_the_holder_is_served_at_once():
    async with run_cluster(nodes=2) as cluster:
        first, second = cluster.nodes
        await first.open(make_spec())
        await cluster.timers.advance(7)
        await first.pause()
        started = len(cluster.engines.started)
        runner = await second.find(unreachable_address=first.address)
        assert len((await runner.pull(make_pull(), bound(1))).groups) == 2
        assert len(cluster.engines.started) == started


async def test_saved_groups_too_old_after_a_takeover_are_made_again():
    async with run_cluster(nodes=2) as cluster:
        first, second = cluster.nodes
        await first.open(make_spec())
        await cluster.timers.advance(7)
        cluster.engines.versions = {'e1': 5, 'e2': 5}
        runner = await second.find(unreachable_address=first.address)
        groups = await pull_all(cluster, runner, version=5)
        assert {group.oldest_version for group in groups.values()} == {5}


async def test_resumed_holder_redirects_the_trainer_to_the_new_one():
    async with run_cluster(nodes=2) as cluster:
        first, second = cluster.nodes
        await first.open(make_spec())
        await first.pause()
        with pytest.raises(StepElsewhereError):
            await second.find()
        await cluster.timers.advance(LEASE_SECONDS)
        runner = await second.find()
        await pull_all(cluster, runner)
        await first.resume()
        await cluster.timers.advance(21)
        with pytest.raises(StepElsewhereError) as caught:
            await first.find()
        assert caught.value.address == second.address
        assert 'step-ended' in first.list_kinds()


async def test_planned_stop_hands_everything_over():
    async with run_cluster(nodes=2) as cluster:
        first, second = cluster.nodes
        await first.open(make_spec())
        await cluster.timers.advance(4)
        await first.close()
        started = len(cluster.engines.started)
        runner = await second.find()
        assert len((await runner.pull(make_pull(), bound(1))).groups) == 2
        assert len(cluster.engines.started) == started


async def test_closed_number_stays_closed_over_the_loss_of_its_node():
    async with run_cluster(nodes=2) as cluster:
        first, second = cluster.nodes
        await first.open(make_spec())
        await first.registry.close_step('cask-notes', 0)
        await first.close()
        with pytest.raises(StepClosedError):
            await second.open(make_spec())
        with pytest.raises(StepClosedError):
            await second.find()


async def test_other_prompts_are_refused_at_another_node():
    async with run_cluster(nodes=2) as cluster:
        first, second = cluster.nodes
        await first.open(make_spec())
        with pytest.raises(StepContentsError):
            await second.open(make_spec(prompts=('other',)), first.address)


async def test_closing_at_any_node_after_the_loss_of_the_first():
    async with run_cluster(nodes=2) as cluster:
        first, second = cluster.nodes
        await first.open(make_spec())
        with pytest.raises(StepElsewhereError):
            await second.registry.close_step('cask-notes', 0)
        await second.registry.close_step('cask-notes', 0, first.address)
        with pytest.raises(StepClosedError):
            await second.find()


async def test_objects_of_closed_steps_are_removed():
    async with run_cluster() as cluster:
        runner = await cluster.open(make_spec())
        await pull_all(cluster, runner)
        assert cluster.objects.bodies
        await cluster.registry.close_step('cask-notes', 0)
        await cluster.timers.advance(4)
        assert not cluster.objects.bodies


async def test_step_runs_from_open_to_close_while_the_store_is_out():
    async with run_cluster() as cluster:
        cluster.disconnect_store()
        runner = await cluster.open(make_spec())
        await pull_all(cluster, runner)
        await cluster.registry.close_step('cask-notes', 0)
        with pytest.raises(StepClosedError):
            await cluster.open(make_spec())
        cluster.disconnect_store(is_down=False)
        await cluster.timers.advance(4)
        await cluster.nodes[0].close()
        late = cluster.nodes[0].__class__(cluster, 'late')
        with pytest.raises(StepClosedError):
            await late.open(make_spec())


async def test_step_opened_without_the_store_is_recorded_when_it_is_back():
    async with run_cluster(nodes=2) as cluster:
        first, second = cluster.nodes
        cluster.table.is_down = True
        await first.open(make_spec())
        with pytest.raises(UnknownNameError, match='open it again'):
            await second.find()
        cluster.table.is_down = False
        await cluster.timers.advance(4)
        with pytest.raises(StepElsewhereError):
            await second.find()


async def test_second_opening_with_other_prompts_ends_when_the_store_is_back():
    async with run_cluster(nodes=2) as cluster:
        first, second = cluster.nodes
        cluster.table.is_down = True
        await first.open(make_spec())
        runner = await second.open(make_spec(prompts=('other',)))
        pull = asyncio.create_task(
            runner.pull(make_pull(wait_seconds=30), bound(1)),
        )
        cluster.engines.lost = {'e1', 'e2'}
        await cluster.timers.advance(1)
        cluster.table.is_down = False
        await cluster.timers.advance(9)
        assert pull.done()
        with pytest.raises(StepContentsError):
            await pull


async def test_lost_answer_to_the_record_of_a_run_is_read_back():
    async with run_cluster() as cluster:
        await cluster.open(make_spec())
        cluster.table.lost_answers = 1
        await cluster.open(make_spec(1))
        assert 'step-unrecorded' not in cluster.list_kinds()


async def test_step_without_pulls_for_an_hour_is_dropped_and_found_again():
    async with run_cluster() as cluster:
        await cluster.open(make_spec())
        await cluster.timers.advance(3610)
        assert 'step-ended' in cluster.list_kinds()
        runner = await cluster.nodes[0].find()
        assert len((await runner.pull(make_pull(), bound(1))).groups) == 2


async def test_groups_are_saved_in_at_most_one_object_a_period():
    async with run_cluster(batch_limit=2) as cluster:
        await cluster.open(make_spec(groups=12))
        await cluster.timers.advance(20)
        batches = [name for name in cluster.objects.puts if 'spec' not in name]
        assert 1 < len(batches) <= 10
        saved = [
            group.index
            for name in batches
            for group in msgspec.json.decode(
                cluster.objects.bodies[name],
                type=tuple[Group, ...],
            )
        ]
        assert sorted(saved) == list(range(12))
