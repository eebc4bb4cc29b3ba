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
    run_world,
)

LEASE_SECONDS = 15


async def test_pull_at_another_node_is_sent_to_the_one_that_runs_the_step():
    async with run_world(nodes=2) as world:
        first, second = world.nodes
        await first.open(make_spec())
        with pytest.raises(StepElsewhereError) as caught:
            await second.find()
        assert caught.value.address == first.address
        with pytest.raises(StepElsewhereError):
            await second.open(make_spec(1))


async def test_step_goes_on_at_a_node_after_the_lease_of_a_lost_one_ran_out():
    async with run_world(nodes=2) as world:
        first, second = world.nodes
        runner = await first.open(make_spec())
        await world.timers.advance(7)
        before = await runner.pull(make_pull(), bound(1))
        await first.freeze()
        with pytest.raises(StepElsewhereError):
            await second.find()
        await world.timers.advance(LEASE_SECONDS)
        runner = await second.find()
        after = await runner.pull(make_pull(), bound(1))
        assert after.groups == before.groups
        assert 'step-taken-over' in second.list_kinds()


async def test_trainer_that_can_not_reach_the_holder_is_served_at_once():
    async with run_world(nodes=2) as world:
        first, second = world.nodes
        await first.open(make_spec())
        await world.timers.advance(7)
        await first.freeze()
        started = len(world.engines.started)
        runner = await second.find(unreachable=first.address)
        assert len((await runner.pull(make_pull(), bound(1))).groups) == 2
        assert len(world.engines.started) == started


async def test_saved_groups_too_old_after_a_takeover_are_made_again():
    async with run_world(nodes=2) as world:
        first, second = world.nodes
        await first.open(make_spec())
        await world.timers.advance(7)
        world.engines.versions = {'e1': 5, 'e2': 5}
        runner = await second.find(unreachable=first.address)
        groups = await pull_all(world, runner, version=5)
        assert {group.oldest_version for group in groups.values()} == {5}


async def test_woken_holder_sends_the_trainer_to_the_new_one():
    async with run_world(nodes=2) as world:
        first, second = world.nodes
        await first.open(make_spec())
        await first.freeze()
        with pytest.raises(StepElsewhereError):
            await second.find()
        await world.timers.advance(LEASE_SECONDS)
        runner = await second.find()
        await pull_all(world, runner)
        await first.thaw()
        await world.timers.advance(21)
        with pytest.raises(StepElsewhereError) as caught:
            await first.find()
        assert caught.value.address == second.address
        assert 'step-ended' in first.list_kinds()


async def test_planned_stop_hands_everything_over():
    async with run_world(nodes=2) as world:
        first, second = world.nodes
        await first.open(make_spec())
        await world.timers.advance(4)
        await first.close()
        started = len(world.engines.started)
        runner = await second.find()
        assert len((await runner.pull(make_pull(), bound(1))).groups) == 2
        assert len(world.engines.started) == started


async def test_closed_number_stays_closed_over_the_loss_of_its_node():
    async with run_world(nodes=2) as world:
        first, second = world.nodes
        await first.open(make_spec())
        await first.registry.finish('cask-notes', 0)
        await first.close()
        with pytest.raises(StepClosedError):
            await second.open(make_spec())
        with pytest.raises(StepClosedError):
            await second.find()


async def test_other_prompts_are_refused_at_another_node():
    async with run_world(nodes=2) as world:
        first, second = world.nodes
        await first.open(make_spec())
        with pytest.raises(StepContentsError):
            await second.open(make_spec(prompts=('other',)), first.address)


async def test_closing_at_any_node_after_the_loss_of_the_first():
    async with run_world(nodes=2) as world:
        first, second = world.nodes
        await first.open(make_spec())
        with pytest.raises(StepElsewhereError):
            await second.registry.finish('cask-notes', 0)
        await second.registry.finish('cask-notes', 0, first.address)
        with pytest.raises(StepClosedError):
            await second.find()


async def test_objects_of_closed_steps_are_removed():
    async with run_world() as world:
        runner = await world.open(make_spec())
        await pull_all(world, runner)
        assert world.objects.bodies
        await world.registry.finish('cask-notes', 0)
        await world.timers.advance(4)
        assert not world.objects.bodies


async def test_step_runs_from_open_to_close_while_the_store_is_out():
    async with run_world() as world:
        world.cut_store()
        runner = await world.open(make_spec())
        await pull_all(world, runner)
        await world.registry.finish('cask-notes', 0)
        with pytest.raises(StepClosedError):
            await world.open(make_spec())
        world.cut_store(is_out=False)
        await world.timers.advance(4)
        await world.nodes[0].close()
        late = world.nodes[0].__class__(world, 'late')
        with pytest.raises(StepClosedError):
            await late.open(make_spec())


async def test_step_opened_without_the_store_is_entered_when_it_is_back():
    async with run_world(nodes=2) as world:
        first, second = world.nodes
        world.table.is_out = True
        await first.open(make_spec())
        with pytest.raises(UnknownNameError, match='open it again'):
            await second.find()
        world.table.is_out = False
        await world.timers.advance(4)
        with pytest.raises(StepElsewhereError):
            await second.find()


async def test_second_opening_with_other_prompts_ends_when_the_store_is_back():
    async with run_world(nodes=2) as world:
        first, second = world.nodes
        world.table.is_out = True
        await first.open(make_spec())
        runner = await second.open(make_spec(prompts=('other',)))
        pull = asyncio.create_task(
            runner.pull(make_pull(wait_seconds=30), bound(1)),
        )
        world.engines.losing = {'e1', 'e2'}
        await world.timers.advance(1)
        world.table.is_out = False
        await world.timers.advance(9)
        assert pull.done()
        with pytest.raises(StepContentsError):
            await pull


async def test_lost_answer_of_the_entry_is_read_back():
    async with run_world() as world:
        await world.open(make_spec())
        world.table.losing = 1
        await world.open(make_spec(1))
        assert 'step-unrecorded' not in world.list_kinds()


async def test_step_without_pulls_for_an_hour_is_dropped_and_found_again():
    async with run_world() as world:
        await world.open(make_spec())
        await world.timers.advance(3610)
        assert 'step-ended' in world.list_kinds()
        runner = await world.nodes[0].find()
        assert len((await runner.pull(make_pull(), bound(1))).groups) == 2


async def test_groups_are_saved_in_at_most_one_object_a_period():
    async with run_world(batch_limit=2) as world:
        await world.open(make_spec(groups=12))
        await world.timers.advance(20)
        batches = [name for name in world.objects.puts if 'spec' not in name]
        assert 1 < len(batches) <= 10
        saved = [
            group.index
            for name in batches
            for group in msgspec.json.decode(
                world.objects.bodies[name],
                type=tuple[Group, ...],
            )
        ]
        assert sorted(saved) == list(range(12))
