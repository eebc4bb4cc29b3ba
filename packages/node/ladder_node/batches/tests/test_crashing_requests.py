"""
Guards against requests that crash one replica after another.

A request under which three replicas had crashed was sent to replicas again
with each attempt of its caller, and crashed every one of them (incident
BUDGET). Tasks and scoring calls are owed whatever happens under them, so they
are paced, but never held back for longer than a moment.
"""

import asyncio
import contextlib

import pytest

from ladder_clients.replicas import CallerRequest
from ladder_core.errors import (
    Execution,
    LadderError,
    QuarantinedRequestError,
    TargetLostError,
)
from ladder_node.batches.tests.fakes import (
    HOST,
    FakeDeployment,
    make_batch,
)
from ladder_node.batches.tests.replica_processes import (
    RESTART_SECONDS,
    EndManner,
    change_address,
    change_name,
    keep_address,
)
from ladder_node.quarantine import (
    UnlimitedRuns,
    component,
)
from ladder_standins.memory_table import TableFault

CRASHING_BODY = b'crash'
NODES = ('a', 'b', 'c')
# The bounds of the platform: runs later than this after the third crash count,
# and more than this number of them is too many.
GRACE_SECONDS = 4
MAX_LATE_RUNS = 3
MIN_CRASHES = 3
MAX_IDLE_SECONDS = 2
# A task that ends each engine at its start begins no more often than this.
MIN_PAUSE_SECONDS = 1
RESTARTS = (keep_address, change_name, change_address)


@pytest.fixture
async def deployment():
    made = FakeDeployment(NODES, engines=4, scorers=4)
    made.processes.crashing.add(CRASHING_BODY)
    await made.start()
    yield made
    await made.close()


def count_late_runs(deployment):
    """Return the number of runs that the platform counts against the fleet."""
    times = [
        time
        for time, body in deployment.processes.runs
        if body == CRASHING_BODY
    ]
    if len(times) < MIN_CRASHES:
        return 0
    counted_from = times[MIN_CRASHES - 1] + GRACE_SECONDS
    return sum(time > counted_from for time in times)


async def call(node, number, body=CRASHING_BODY):
    route = node.routes.require().find_route(HOST, '/score/')
    request = make_request(f'attempt-{number}', body)
    return await node.forwarder.forward(route, request, 2)


def make_request(request_id, body):
    headers = ((b'host', HOST.encode()),)
    return CallerRequest(request_id, b'POST', b'/score/7', headers, body)


async def call_repeatedly(deployment, attempts):
    """Send the request under new ids, to one node after another."""
    calls = []
    for number in range(attempts):
        node = deployment.nodes[NODES[number % len(NODES)]]
        calls.append(asyncio.ensure_future(call(node, number)))
        await deployment.advance(0.5)
    await deployment.advance(2)
    for one in calls:
        with contextlib.suppress(LadderError):
            await one


@pytest.mark.parametrize('rename', RESTARTS)
async def test_request_that_crashes_replicas_is_not_sent_without_end(
    deployment, rename
):
    deployment.processes.rename = rename
    await call_repeatedly(deployment, 60)
    assert len(deployment.processes.crashes) >= MIN_CRASHES
    assert count_late_runs(deployment) <= MAX_LATE_RUNS


@pytest.mark.parametrize('rename', RESTARTS)
async def test_request_that_ends_replicas_silently_is_not_sent_without_end(
    deployment, rename
):
    """
    Guards against ends that are counted nowhere.

    The address refuses no connection, and the entry lapses or another process
    is listed before the probe is over.
    """
    deployment.processes.end_manner = EndManner.unreachable
    deployment.processes.rename = rename
    await call_repeatedly(deployment, 60)
    assert len(deployment.processes.crashes) >= MIN_CRASHES
    assert count_late_runs(deployment) <= MAX_LATE_RUNS


async def test_request_that_silences_replicas_is_not_sent_without_end(
    deployment,
):
    """
    Guards against ends whose connections neither break nor are refused.

    The runs time out, the entries lapse, and the next processes have other
    names and addresses.
    """
    deployment.processes.end_manner = EndManner.silent
    deployment.processes.rename = change_address
    await call_repeatedly(deployment, 60)
    assert len(deployment.processes.crashes) >= MIN_CRASHES
    assert count_late_runs(deployment) <= MAX_LATE_RUNS


async def test_without_the_quarantine_each_attempt_crashes_replicas(
    monkeypatch,
):
    """The plain way to compare with; it shows that these tests can fail."""
    monkeypatch.setattr(
        component,
        'QuarantineGuard',
        lambda detector, *_: UnlimitedRuns(detector),
    )
    made = FakeDeployment(NODES, engines=4, scorers=4)
    made.processes.crashing.add(CRASHING_BODY)
    await made.start()
    await call_repeatedly(made, 60)
    crashes, late_runs = len(made.processes.crashes), count_late_runs(made)
    await made.close()
    assert crashes > MIN_CRASHES
    assert late_runs > MAX_LATE_RUNS


@pytest.mark.parametrize('rename', RESTARTS)
async def test_task_that_crashes_engines_is_still_owed_and_spares_the_rest(
    deployment, rename
):
    """
    Work that is handed in is never taken for the cause of crashes.

    A task whose starts are lost runs again within two seconds of a free
    engine, and the other tasks of its batches are done meanwhile.
    """
    deployment.processes.rename = rename
    tasks = crash_in_body(make_batch(groups=2).tasks)
    for number in range(4):
        batch = make_batch(f'b{number}', tasks=tasks)
        await deployment.submit(batch)
        await deployment.advance(12)
        assert len(await deployment.read(batch.batch_id)) == len(tasks) - 1
        await deployment.nodes['a'].batch_api.end(batch.batch_id)
    check_paces(deployment, 48)


@pytest.mark.parametrize('rename', RESTARTS)
async def test_scoring_that_crashes_scorers_is_still_owed_and_spares_the_rest(
    deployment, rename
):
    deployment.processes.rename = rename
    tasks = crash_in_scorer(make_batch().tasks)
    await deployment.submit(make_batch(tasks=tasks))
    await deployment.advance(12)
    assert len(await deployment.read('b')) == len(tasks) - 1
    await deployment.advance(26)
    check_paces(deployment, 38)


def check_paces(deployment, seconds):
    """Check that a crashing body ran each two seconds, and not too often."""
    times = [
        time
        for time, body in deployment.processes.runs
        if body == CRASHING_BODY
    ]
    # A batch takes a moment to open, and its engines may all be down.
    assert len(times) >= seconds / (MAX_IDLE_SECONDS + RESTART_SECONDS)
    # The first start in each batch is free, and a scoring call is sent to all
    # replicas that its route allows.
    free_runs = 4 * 2
    assert len(times) <= seconds / MIN_PAUSE_SECONDS + free_runs


def crash_in_body(tasks):
    return tuple(
        type(task)(
            task.task_id,
            task.group,
            task.target,
            task.headers,
            CRASHING_BODY if task is tasks[0] else task.body,
            task.model,
            task.max_tokens,
            scorer=task.scorer,
        )
        for task in tasks
    )


def crash_in_scorer(tasks):
    return tuple(
        type(task)(
            task.task_id,
            task.group,
            task.target,
            task.headers,
            task.body,
            task.model,
            task.max_tokens,
            scorer=type(task.scorer)(
                task.scorer.call_id,
                task.scorer.host,
                task.scorer.target,
                CRASHING_BODY if task is tasks[0] else b'text',
            ),
        )
        for task in tasks
    )


async def outcomes(calls):
    """Return the status of each response, or the kind of the error."""
    found = []
    for one in calls:
        try:
            found.append((await one).status)
        except LadderError as error:
            found.append(error.kind)
    return found


def begin(deployment, node, number, body=CRASHING_BODY):
    return asyncio.ensure_future(call(deployment.nodes[node], number, body))


async def test_other_requests_are_served_beside_one_that_crashes_replicas(
    deployment,
):
    """A bystander shares its replica with the request, and is cleared."""
    deployment.processes.call_seconds = 0.15
    calls = []
    for number in range(60):
        node = NODES[number % len(NODES)]
        calls.append(begin(deployment, node, f'b{number}', b'bystander'))
        begin(deployment, node, number).add_done_callback(ignore_error)
        await deployment.advance(0.5)
    await deployment.advance(3)
    served = (await outcomes(calls)).count(200)
    assert served >= 50
    assert await outcomes([await start_late(deployment)]) == [200]


async def start_late(deployment):
    late = begin(deployment, 'a', 'late', b'bystander')
    await deployment.advance(1)
    return late


def ignore_error(ended):
    ended.exception()


async def test_request_that_meets_three_kills_by_chance_is_served_again(
    deployment,
):
    """Three coincidences under a wave of crashes are no proof."""
    deployment.processes.call_seconds = 0.5
    for _ in range(3):
        first = begin(deployment, 'a', 'kill', b'unlucky')
        await deployment.advance(0.2)
        end_all(deployment, 'taproom')
        await deployment.advance(4)
        first.add_done_callback(ignore_error)
    assert await send_until_served(deployment, b'unlucky') <= 2
    last = begin(deployment, 'c', 'last', b'unlucky')
    await deployment.advance(1)
    assert await outcomes([last]) == [200]


async def send_until_served(deployment, body):
    """Send a request after each pause that a refusal names; count them."""
    for number in range(9):
        sent = begin(deployment, 'b', number, body)
        await deployment.advance(1)
        try:
            await sent
        except QuarantinedRequestError as error:
            await deployment.advance(error.retry_after)
        else:
            return number
    raise AssertionError('the request is not served')


def end_all(deployment, service):
    registry = deployment.nodes['a'].replica_registry
    for record in registry.list_service(service):
        deployment.processes.end(record.replica)


async def test_kill_with_many_requests_in_flight_refuses_none(deployment):
    deployment.processes.call_seconds = 0.5
    bodies = [f'request {number}'.encode() for number in range(40)]
    calls = [begin(deployment, 'a', body, body) for body in bodies]
    await deployment.advance(0.2)
    registry = deployment.nodes['a'].replica_registry
    deployment.processes.end(registry.list_service('taproom')[0].replica)
    await deployment.advance(3)
    assert set(await outcomes(calls)) == {200}
    assert not list_all_events(deployment, 'request-quarantined')


def list_all_events(deployment, kind):
    return [
        event
        for node in deployment.nodes.values()
        for event in node.list_events(kind)
    ]


async def test_refusal_is_immediate_and_names_the_next_trial(deployment):
    await outcomes([call(deployment.nodes['a'], 0)])
    await deployment.advance(0.2)
    for name in NODES:
        with pytest.raises(QuarantinedRequestError) as caught:
            await call(deployment.nodes[name], 1)
        assert caught.value.execution is Execution.not_run
        assert 0 < (caught.value.retry_after or 0) <= 1


async def test_trial_of_a_request_is_made_by_one_node(deployment):
    await outcomes([call(deployment.nodes['a'], 0)])
    await deployment.advance(3)
    before = len(deployment.processes.runs)
    calls = [begin(deployment, name, name) for name in NODES for _ in range(3)]
    await deployment.advance(0.5)
    await outcomes(calls)
    assert len(deployment.processes.runs) == before + 1
    assert len(list_all_events(deployment, 'request-tried')) == 1


@pytest.mark.parametrize('reason', ['cancelled', 'not-run'])
async def test_trial_without_an_outcome_is_made_again(deployment, reason):
    """
    Guards against innocent requests that wait for trials that never ran.

    A task that had met two crashes was stopped in its trial because its engine
    fell silent, and was held back for five more seconds.
    """
    await outcomes([call(deployment.nodes['a'], 0)])
    deployment.processes.crashing.clear()
    deployment.processes.call_seconds = 0.5
    await deployment.advance(3)
    trial = begin(deployment, 'a', 1)
    if reason == 'cancelled':
        await deployment.advance(0.2)
        trial.cancel()
    else:
        end_all(deployment, 'taproom')
        await deployment.advance(3)
        assert await outcomes([trial]) == ['target-unavailable']
    await deployment.advance(1)
    again = begin(deployment, 'b', 2)
    await deployment.advance(1)
    assert await outcomes([again]) == [200]


async def test_attempt_that_crashed_replicas_promises_nothing(deployment):
    with pytest.raises(TargetLostError) as caught:
        await call(deployment.nodes['a'], 0)
    assert caught.value.execution is Execution.may_have_run
    assert len(deployment.processes.crashes) == 2


async def test_no_trial_is_claimed_while_no_replica_could_run_it(deployment):
    """
    Guards against writes for trials that cannot be made.

    A scoring call was tried ten times a second while all scorers were down, and
    each time a trial was claimed and withdrawn (soak, seed 500).
    """
    await outcomes([call(deployment.nodes['a'], 0)])
    await deployment.advance(3)
    end_all(deployment, 'taproom')
    await outcomes([call(deployment.nodes['a'], 'first', b'bystander')])
    rows = deployment.crash_table.rows
    before = rows.revision
    calls = [call(deployment.nodes['a'], number) for number in range(20)]
    assert set(await outcomes(calls)) == {'target-unavailable'}
    assert rows.revision == before


async def test_stream_of_a_quarantined_request_is_refused(deployment):
    await outcomes([call(deployment.nodes['a'], 0)])
    node = deployment.nodes['a']
    route = node.routes.require().find_route(HOST, '/score/')
    request = make_request('stream', CRASHING_BODY)
    with pytest.raises(QuarantinedRequestError):
        await anext(aiter_stream(node, route, request))


async def aiter_stream(node, route, request):
    async with node.forwarder.stream(route, request, 2) as response:
        yield response


async def test_rest_of_a_batch_is_done_beside_a_task_that_crashes_engines(
    deployment,
):
    tasks = crash_in_body(make_batch(groups=2).tasks)
    await deployment.submit(make_batch(tasks=tasks))
    await deployment.advance(6)
    assert len(await deployment.read('b')) == len(tasks) - 1


async def test_task_that_crashes_engines_is_given_up_with_its_batch_only(
    deployment,
):
    """A result before the retention time is over would claim a failed run."""
    tasks = crash_in_body(make_batch().tasks)
    await deployment.submit(make_batch(tasks=tasks))
    await deployment.advance(38)
    assert len(await deployment.read('b')) == len(tasks) - 1
    body = (await deployment.nodes['b'].batch_api.find_task('b', 'b-g0-0')).body
    assert body == CRASHING_BODY
    await deployment.advance(4)
    assert len(await deployment.read('b')) == len(tasks)


async def test_next_holder_runs_a_task_that_crashes_engines_and_the_rest(
    deployment,
):
    tasks = crash_in_body(make_batch().tasks)
    await deployment.submit(make_batch(tasks=tasks))
    for _ in range(2):
        await deployment.advance(4)
        holders = [n for n in deployment.nodes.values() if n.leases._held]
        await holders[0].kill()
        deployment.alive.remove(holders[0].name)
    before = len(deployment.processes.crashes)
    await deployment.advance(20)
    node = deployment.alive[0]
    assert len(await deployment.read('b', node=node)) == len(tasks) - 1
    assert len(deployment.processes.crashes) > before


@pytest.mark.parametrize('fault', [TableFault.down, TableFault.lost_answer])
async def test_crashes_count_while_the_table_does_not_answer(deployment, fault):
    deployment.are_peers_cut = True
    deployment.crash_table.default_fault = fault
    await call_repeatedly(deployment, 20)
    runs = len(deployment.processes.runs)
    deployment.crash_table.default_fault = TableFault.none
    await deployment.advance(2)
    await call_repeatedly(deployment, 20)
    assert runs <= 2 * len(NODES)
    assert count_late_runs(deployment) <= MAX_LATE_RUNS


@pytest.mark.parametrize('fault', [TableFault.down, TableFault.lost_answer])
async def test_nodes_tell_each_other_of_crashes_without_the_table(
    deployment, fault
):
    """
    Guards against an outage in which each node counts crashes for itself.

    Three nodes lost six replicas to one request while the table was down.
    """
    deployment.crash_table.default_fault = fault
    await call_repeatedly(deployment, 20)
    assert len(deployment.processes.crashes) == 2


# A partition handles 200 writes a second, of all hosts together.
MAX_WRITES_PER_SECOND = 200 // 9
SECONDS = 3


async def test_ten_thousand_requests_cost_few_writes_and_probes(deployment):
    deployment.processes.call_seconds = 0.2
    calls = [
        begin(deployment, 'a', number, str(number).encode())
        for number in range(10_000)
    ]
    await deployment.advance(0.1)
    end_all(deployment, 'taproom')
    await deployment.advance(SECONDS)
    await outcomes(calls)
    writes = deployment.crash_table.rows.revision
    assert writes <= SECONDS * MAX_WRITES_PER_SECOND
    assert len(deployment.processes.probes) < 20
