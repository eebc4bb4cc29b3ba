"""Whole batches on an in-memory deployment, from submission to results."""

import asyncio
import time
from typing import cast

import msgspec
import pytest

from ladder_clients.table import StoreOutcomeUnknownError, Transaction, Write
from ladder_core.errors import StoreUnavailableError, UnknownNameError
from ladder_node.batches import TaskState
from ladder_node.batches.dispatcher import TaskDispatcher
from ladder_node.batches.engines import EngineTracker
from ladder_node.batches.open_batch import Stage
from ladder_node.batches.records import OWNERS_TABLE, BatchHead, find_shard
from ladder_node.batches.registry import BatchRegistry
from ladder_node.batches.result_writer import ResultWriter
from ladder_node.batches.runs import TaskRuns
from ladder_node.batches.task_group import LeaseTaskGroup
from ladder_node.batches.tests.fakes import (
    MODEL,
    FakeDeployment,
    fail_run,
    make_batch,
    make_routes,
    make_task,
    reject,
)
from ladder_standins.memory_table import TableFault


@pytest.fixture
async def deployment():
    made = FakeDeployment()
    await made.start()
    yield made
    await made.close()


def find(results, task_id):
    return next(one for one in results if one.task_id == task_id)


async def test_every_task_gets_its_whole_text_versions_and_score(deployment):
    await deployment.submit(make_batch(groups=2))
    await deployment.advance(2)
    results = await deployment.read('b')
    assert len({one.task_id for one in results}) == 8
    for one in results:
        parts = [f'{one.task_id}.{number}' for number in (1, 2, 3)]
        assert one.text == '\n'.join(parts)
        assert (one.versions, one.score) == ((1,), 'signature')


async def test_completed_batch_records_its_duration(deployment):
    """Guards against a timeline that does not show how late trainers are."""
    node = deployment.nodes['a']
    node.engines.lengths['b-g0-0'] = 50
    await deployment.submit(make_batch())
    await deployment.advance(4)
    events = node.list_events('batch-completed')
    assert [event.subject for event in events] == ['b']
    assert 2 <= float(events[0].fields['seconds']) <= 2.5


async def test_positions_never_change(deployment):
    await deployment.submit(make_batch(groups=2))
    seen: dict[int, object] = {}
    for _ in range(40):
        await deployment.advance(0.05)
        for position, result in enumerate(await deployment.read('b')):
            assert seen.setdefault(position, result) == result
    assert len(seen) == 8


async def test_repeated_submission_is_accepted_and_runs_once(deployment):
    for _ in range(2):
        await deployment.submit(make_batch())
    await deployment.advance(2)
    assert len(deployment.nodes['a'].engines.runs) == 4


async def test_broken_run_resumes_after_its_last_complete_event(deployment):
    engines = deployment.nodes['a'].engines
    engines.lengths['b-g0-0'] = 10
    engines.faults['b-g0-0'] = [4]
    await deployment.submit(make_batch())
    await deployment.advance(2)
    starts = [run[2] for run in engines.runs if run[1] == 'b-g0-0']
    assert starts == [0, 4]
    text = find(await deployment.read('b'), 'b-g0-0').text
    assert text.split('\n') == [f'b-g0-0.{number}' for number in range(1, 11)]


async def test_failing_task_is_given_up_after_the_route_s_attempts(deployment):
    engines = deployment.nodes['a'].engines
    engines.faults['b-g0-0'] = [fail_run() for _ in range(9)]
    await deployment.submit(make_batch())
    await deployment.advance(3)
    assert (
        find(await deployment.read('b'), 'b-g0-0').state is TaskState.given_up
    )
    assert sum(run[1] == 'b-g0-0' for run in engines.runs) == 3


async def test_rejected_task_is_given_up_at_once(deployment):
    engines = deployment.nodes['a'].engines
    engines.faults['b-g0-0'] = [reject()]
    await deployment.submit(make_batch())
    await deployment.advance(1)
    assert (
        find(await deployment.read('b'), 'b-g0-0').state is TaskState.given_up
    )
    assert sum(run[1] == 'b-g0-0' for run in engines.runs) == 1


async def test_task_without_a_score_is_never_listed_as_completed(deployment):
    engines = deployment.nodes['a'].engines
    engines.scores['score-b-g0-0'] = [500 for _ in range(20)]
    engines.scores['score-b-g0-1'] = [500, 500]
    await deployment.submit(make_batch())
    await deployment.advance(3)
    results = await deployment.read('b')
    assert find(results, 'b-g0-0').state is TaskState.given_up
    assert find(results, 'b-g0-1').state is TaskState.completed


async def test_only_failed_runs_of_a_scorer_are_counted(deployment):
    engines = deployment.nodes['a'].engines
    engines.scores['score-b-g0-0'] = [500, 504, 504, 500, 503, 500]
    await deployment.submit(make_batch())
    await deployment.advance(4)
    result = find(await deployment.read('b'), 'b-g0-0')
    assert result.state is TaskState.completed


async def test_ended_batch_stops_its_runs_and_keeps_its_results(deployment):
    node = deployment.nodes['a']
    for number in range(4):
        node.engines.lengths[f'b-g0-{number}'] = 3 if number < 2 else 500
    await deployment.submit(make_batch())
    await deployment.advance(1)
    before = await deployment.read('b')
    await node.batch_api.end('b')
    await node.batch_api.end('b')
    await deployment.advance(0.2)
    assert not node.engines.running
    runs = len(node.engines.runs)
    await deployment.advance(3)
    assert len(node.engines.runs) == runs
    assert (await deployment.read('b'))[:2] == before


async def test_ended_batch_stops_its_calls_to_scorers(deployment):
    # Guards against scoring calls for ended batches: a scorer without free
    # slots was still called ten seconds after the end of a batch.
    node = deployment.nodes['a']
    node.engines.scores['score-b-g0-0'] = [503 for _ in range(99)]
    await deployment.submit(make_batch())
    await deployment.advance(1)
    await node.batch_api.end('b')
    await deployment.advance(0.3)
    calls = len(node.engines.calls)
    await deployment.advance(3)
    assert len(node.engines.calls) == calls


async def test_run_cancelled_before_its_first_step_frees_its_slot(deployment):
    node = deployment.nodes['a']
    dependencies = node.owner._dependencies
    registry = BatchRegistry(deployment.timers)
    engines = EngineTracker(node.replica_registry, node.engines)
    dispatcher = TaskDispatcher(
        registry, engines, node.routes, deployment.timers
    )
    spec = make_batch()
    head = BatchHead(4, 1, 0, 'a', 7.5, 40)
    async with asyncio.TaskGroup() as group:
        runs = TaskRuns(
            dependencies,
            registry,
            dispatcher,
            LeaseTaskGroup(group),
            lambda: None,
        )
        batch = registry.add(spec, head, cast(ResultWriter, None), 0, ())
        left = dispatcher.dispatch('brewmind', runs.start)
        runs.cancel_batch(batch)
    assert not left
    assert not runs.active
    assert not engines.list_running()
    assert {task.stage for task in batch.tasks.values()} == {Stage.waiting}


async def test_text_moves_to_a_faster_engine_at_most_twice():
    deployment = FakeDeployment(engines=6, slots=1)
    await deployment.start()
    engines = deployment.nodes['a'].engines
    # Each engine becomes slow as soon as it has a run.
    engines.seconds = {f'e{number}': 0.04 for number in range(6)}
    engines.lengths['b-g0-0'] = 200
    await deployment.submit(make_batch('a', size=6))
    await deployment.advance(1)
    await deployment.submit(make_batch(size=1))
    for _ in range(50):
        await deployment.advance(0.1)
        busy = {run[0] for run in engines.running}
        engines.seconds = {
            name: 0.4 if name in busy else 0.04 for name in engines.seconds
        }
    starts = [run for run in engines.runs if run[1] == 'b-g0-0']
    await deployment.close()
    assert len(starts) == 3


async def test_first_events_of_new_engines_move_no_text():
    """
    Guards against moves that rest on too few measurements.

    A new lease holder moved texts after two events, and again after two more.
    """
    deployment = FakeDeployment(engines=6, slots=1)
    await deployment.start()
    engines = deployment.nodes['a'].engines
    engines.seconds = {f'e{number}': 0.04 for number in range(6)}
    engines.seconds['e0'] = 0.07
    engines.lengths['b-g0-0'] = 60
    await deployment.submit(make_batch(size=2))
    await deployment.advance(0.5)
    starts = [run for run in engines.runs if run[1] == 'b-g0-0']
    await deployment.close()
    assert len(starts) == 1


async def test_long_text_leaves_a_slow_engine_while_others_wait():
    """
    Guards against a long text that is kept on a slow engine.

    As long as any task waited for a slot no text moved, and a step was late
    for a text of 190 events that ran 9.7 s there.
    """
    deployment = FakeDeployment(engines=2, slots=2)
    await deployment.start()
    engines = deployment.nodes['a'].engines
    engines.seconds = {'e0': 0.08, 'e1': 0.04}
    engines.lengths = {
        f'b-g0-{number}': 120 if number < 4 else 12 for number in range(40)
    }
    await deployment.submit(make_batch(size=40))
    await deployment.advance(1)
    slow = {run[1] for run in engines.running if run[0] == 'e0'}
    await deployment.advance(4.6)
    moved = {run[1] for run in engines.runs if run[0] == 'e1' and run[2]}
    started = {run[1] for run in engines.runs}
    await deployment.advance(12)
    results = await deployment.read('b')
    await deployment.close()
    # The quick engine has one slot that no other long text occupies.
    assert len(moved) == 1
    assert moved < slow
    assert len(started) < 40
    assert len(results) == 40


async def test_texts_leave_a_slow_engine_one_for_each_free_slot():
    """
    Guards against stopping more texts than there are free slots.

    All texts of a slow engine were stopped for one free slot, and the others
    waited 0.7 s for the next one.
    """
    deployment = FakeDeployment(engines=3, slots=2)
    await deployment.start()
    engines = deployment.nodes['a'].engines
    engines.seconds = {f'e{number}': 0.04 for number in range(3)}
    for number in range(5):
        engines.lengths[f'b-g0-{number}'] = 100
    await deployment.submit(make_batch(size=5))
    await deployment.advance(1)
    engines.seconds['e0'] = 0.4
    # One text may be moving between two engines.
    for _ in range(20):
        await deployment.advance(0.1)
        assert len(engines.running) >= 4
    moved = [run for run in engines.runs if run[2]]
    await deployment.close()
    assert len(moved) == 1


async def test_unresponsive_engine_delays_a_text_by_little_over_a_second(
    deployment,
):
    """Guards against long waits for an engine that fails before any event."""
    engines = deployment.nodes['a'].engines
    engines.seconds['e0'] = 60
    await deployment.submit(make_batch())
    await deployment.advance(2.2)
    assert len(await deployment.read('b')) == 4


async def test_unfinished_group_is_resumed_in_the_next_batch(deployment):
    node = deployment.nodes['a']
    node.engines.lengths['b-g0-0'] = 60
    await deployment.submit(make_batch())
    await deployment.advance(1)
    await node.batch_api.end('b')
    await deployment.advance(0.2)
    await deployment.submit(make_batch('c', tasks=make_batch().tasks))
    await deployment.advance(3)
    starts = [run[2] for run in node.engines.runs if run[1] == 'b-g0-0']
    assert starts[0] == 0
    assert starts[1] > 10
    assert len(await deployment.read('c')) == 4


async def test_text_of_weights_too_old_is_not_used_again(deployment):
    node = deployment.nodes['a']
    node.engines.lengths['b-g0-0'] = 60
    await deployment.submit(make_batch())
    await deployment.advance(1)
    await node.batch_api.end('b')
    node.versions.offer(MODEL, 2)
    await deployment.advance(2)
    batch = make_batch('c', tasks=make_batch().tasks, min_version=2)
    await deployment.submit(batch)
    await deployment.advance(4)
    results = await deployment.read('c')
    assert len(results) == 4
    assert {one.versions for one in results} == {(2,)}


async def test_expired_tasks_are_given_up():
    deployment = FakeDeployment(engines=0)
    await deployment.start()
    await deployment.submit(make_batch())
    await deployment.advance(41)
    states = [one.state for one in await deployment.read('b')]
    await deployment.close()
    assert states == [TaskState.given_up for _ in range(4)]


async def test_unknown_batch_is_distinguished_from_an_unavailable_store(
    deployment,
):
    node = deployment.nodes['a']
    with pytest.raises(UnknownNameError):
        await node.batch_api.read('nothing', 0, 0)
    deployment.table.default_fault = TableFault.down
    with pytest.raises(StoreUnavailableError):
        await node.batch_api.read('nothing', 0, 0)


async def test_refused_batch_is_not_stored(deployment):
    deployment.table.default_fault = TableFault.down
    accept = deployment.submit(make_batch())
    with pytest.raises(StoreUnavailableError):
        await run(deployment, accept)
    deployment.table.default_fault = TableFault.none
    await deployment.advance(3)
    assert not deployment.nodes['a'].engines.runs


async def test_lost_answer_of_an_acceptance_is_no_refusal(deployment):
    deployment.table.faults = [
        TableFault.lost_answer,
        *(TableFault.down for _ in range(20)),
    ]
    accept = deployment.submit(make_batch())
    with pytest.raises(StoreOutcomeUnknownError):
        await run(deployment, accept)


async def test_lost_answer_of_an_acceptance_is_resolved_by_a_repetition(
    deployment,
):
    deployment.table.faults = [TableFault.lost_answer]
    await run(deployment, deployment.submit(make_batch()))
    await deployment.advance(2)
    assert len(await deployment.read('b')) == 4


async def test_lost_answers_of_result_writes_duplicate_no_position(deployment):
    await deployment.submit(make_batch(groups=3))
    for _ in range(60):
        deployment.table.faults = [TableFault.lost_answer]
        await deployment.advance(0.05)
    deployment.table.faults = []
    await deployment.advance(4)
    results = await deployment.read('b')
    assert len(results) == 12
    assert len({one.task_id for one in results}) == 12


async def test_next_holder_resumes_from_the_saved_text():
    deployment = FakeDeployment(nodes=('a', 'b'))
    await deployment.start()
    owner = next(n for n in deployment.nodes.values() if n.leases._held)
    other = next(n for n in deployment.nodes.values() if n is not owner)
    for node in deployment.nodes.values():
        node.engines.lengths['b-g0-0'] = 80
    await deployment.submit(make_batch())
    await deployment.advance(2)
    await owner.kill()
    await deployment.advance(6)
    starts = [run[2] for run in other.engines.runs if run[1] == 'b-g0-0']
    results = await deployment.read('b')
    await deployment.close()
    assert starts[0] > 20
    assert len(results) == 4
    parts = find(results, 'b-g0-0').text.split('\n')
    assert parts == [f'b-g0-0.{number}' for number in range(1, 81)]
    assert len(other.engines.runs) == 1


async def test_restarted_holder_reacquires_its_duty_at_once():
    deployment = FakeDeployment()
    await deployment.start()
    await deployment.nodes['a'].kill()
    again = type(deployment.nodes['a'])('a', deployment)
    again.replica_registry.replace(
        [
            record.replica
            for record in deployment.nodes['a'].replica_registry.list_all()
        ],
        0,
    )
    again.routes.offer(make_routes())
    deployment.nodes['a'] = again
    await again.start()
    await deployment.advance(0.8)
    kinds = again.list_kinds()
    await deployment.close()
    assert 'duty-begun' in kinds


async def test_holder_that_was_fenced_off_writes_no_result(deployment):
    await deployment.submit(make_batch())
    shard = find_shard('b')
    row = Write(OWNERS_TABLE, 'owner', '{"node":"z","epoch":99}', shard)
    deployment.table.apply(Transaction('fence', (), (row,)))
    await deployment.advance(2)
    assert not await deployment.read('b')
    assert 'duty-ended' in deployment.nodes['a'].list_kinds()


async def test_holder_without_the_store_stops_its_runs(deployment):
    node = deployment.nodes['a']
    node.engines.lengths = {f'b-g0-{n}': 1000 for n in range(4)}
    await deployment.submit(make_batch())
    await deployment.advance(1)
    deployment.table.default_fault = TableFault.down
    await deployment.advance(4)
    assert not node.engines.running
    deployment.table.default_fault = TableFault.none


async def test_outage_for_all_nodes_stops_no_run():
    """
    Guards against cancelling runs when no other node can take the lease.

    The store was down for seven seconds, and all 162 runs were cancelled when
    the lease lapsed.
    """
    deployment = FakeDeployment(nodes=('a', 'b'))
    await deployment.start()
    owner = next(n for n in deployment.nodes.values() if n.leases._held)
    owner.engines.lengths = {f'b-g0-{n}': 200 for n in range(4)}
    await deployment.submit(make_batch(), owner.name)
    await deployment.advance(1)
    deployment.is_outage_shared = True
    deployment.table.default_fault = TableFault.down
    await deployment.advance(9)
    deployment.table.default_fault = TableFault.none
    deployment.is_outage_shared = False
    await deployment.advance(2)
    results = await deployment.read('b', node=owner.name)
    runs = [len(node.engines.runs) for node in deployment.nodes.values()]
    await deployment.close()
    assert len(results) == 4
    assert sum(runs) == 4
    assert owner.list_kinds().count('duty-begun') == 1


async def test_wrong_wall_clock_of_a_host_makes_no_batch_look_old(
    deployment,
    monkeypatch,
):
    """
    Guards against wrong ages of batches when the wall clock of a host is off.

    A clock step of four seconds made new tasks the least urgent ones.
    """
    await deployment.submit(make_batch('before'))
    await deployment.advance(1)
    present = time.time()
    monkeypatch.setattr(time, 'time', lambda: present - 4)
    await deployment.submit(make_batch())
    monkeypatch.setattr(time, 'time', lambda: present + 4)
    await deployment.advance(1)
    opened = deployment.nodes['a'].list_events('batch-opened')
    assert float(opened[-1].fields['age']) == 0


async def test_no_orders_are_sent_during_an_outage():
    deployment = FakeDeployment()
    await deployment.start()
    node = deployment.nodes['a']
    await deployment.submit(make_batch())
    await deployment.advance(1)
    deployment.is_outage_shared = True
    deployment.table.default_fault = TableFault.down
    await deployment.advance(3)
    node.versions.offer(MODEL, 2)
    await deployment.advance(3)
    assert not node.engines.orders
    deployment.table.default_fault = TableFault.none
    await deployment.advance(3)
    await deployment.close()
    assert node.engines.orders


async def test_large_batch_goes_through_the_object_store(deployment):
    tasks = make_batch(size=200).tasks
    large = tuple(
        type(task)(
            task.task_id,
            task.group,
            task.target,
            task.headers,
            b'x' * 4000,
            task.model,
            scorer=task.scorer,
        )
        for task in tasks
    )
    await deployment.submit(make_batch('big', tasks=large))
    assert list(deployment.objects.bodies) == ['batch-big']
    await deployment.advance(6)
    listed = 0
    while page := await deployment.read('big', listed):
        listed += len(page)
    assert listed == 200


async def test_body_of_a_task_is_readable_until_the_batch_is_ended(deployment):
    node = deployment.nodes['a']
    await deployment.submit(make_batch())
    assert (await node.batch_api.find_task('b', 'b-g0-1')).body == b'prompt'
    with pytest.raises(UnknownNameError):
        await node.batch_api.find_task('b', 'other')
    await node.batch_api.end('b')
    with pytest.raises(UnknownNameError):
        await node.batch_api.find_task('b', 'b-g0-1')


async def run(deployment, call):
    """Await a call that sleeps on the manual clock."""
    task = asyncio.ensure_future(call)
    while not task.done():
        await deployment.timers.advance(0.05)
    return task.result()


async def test_text_with_more_events_than_tokens_is_cut(deployment):
    """
    Guards against a stream of valid events that never ends.

    The text of the task may have 10 tokens, so at most 10 events; the engine
    goes on, and is rested.
    """
    node = deployment.nodes['a']
    task = msgspec.structs.replace(make_task('t', 'g'), max_tokens=10)
    node.engines.lengths['t'] = 1000
    await deployment.submit(make_batch(tasks=(task,)))
    await deployment.advance(2)
    ended = node.list_events('task-run-ended')
    assert ended[0].fields['outcome'] == 'answer-endless'
    assert 'beyond 10 tokens' in ended[0].fields['reason']
    assert all(int(event.fields['events']) <= 11 for event in ended)
    assert len(ended) < 20
