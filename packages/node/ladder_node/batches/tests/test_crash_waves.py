"""
Guards against sound tasks that are held back or given up after crashes.

Engines and scorers end in waves that no task causes. Tasks met several crashes
by chance, were taken for their cause, and were held back until their batch was
given up, while all engines were idle (incident BUDGET of issue 21).
"""

import asyncio
import contextlib
import json
from collections import defaultdict

import msgspec
import pytest

from ladder_clients.replicas import CallerRequest
from ladder_core.errors import LadderError
from ladder_node.batches.tests.fakes import (
    HOST,
    FakeDeployment,
    make_batch,
)
from ladder_node.batches.tests.replica_processes import (
    RESTART_SECONDS,
    change_name,
)
from ladder_node.quarantine import EvidenceRow, identify_request

NODES = ('a', 'b', 'c')
STEP_SECONDS = 0.05
# The service promises to run a task again within this time of its last run if a
# replica has room.
MAX_IDLE_SECONDS = 2
# One task takes 150 events of 0.04 s.
EVENTS = 150
WAVE_SECONDS = 3.2
RETENTION_SECONDS = 40
# The entry of a process that crashed lapses after three status intervals.
LAPSE_SECONDS = 3.6


class IdleWatch:
    """Measures how long each task is at no engine while one has room."""

    def __init__(self, deployment, tasks):
        self.deployment = deployment
        self.task_ids = {task.task_id for task in tasks}
        self.whole = set()
        self.idle_seconds = defaultdict(float)
        self.longest_seconds = 0

    def observe(self):
        running = self.list_running()
        has_room = self.has_room(running)
        for task_id in self.task_ids - self.whole:
            if has_room and task_id not in {task for _, task in running}:
                self.idle_seconds[task_id] += STEP_SECONDS
            else:
                self.idle_seconds[task_id] = 0
        longest_seconds = max(self.idle_seconds.values(), default=0)
        self.longest_seconds = max(self.longest_seconds, longest_seconds)

    def list_running(self):
        return {
            (replica, task)
            for node in self.deployment.nodes.values()
            for replica, task, _ in node.engines.running
        }

    def has_room(self, running):
        """Return whether a listed engine is alive and has a free slot."""
        registry = self.deployment.nodes[NODES[-1]].replica_registry
        return any(
            not self.deployment.processes.is_ended(record.replica)
            and sum(name == record.name for name, _ in running)
            < record.replica.slots
            for record in registry.list_service('brewmind')
        )


@pytest.fixture
async def deployment():
    made = FakeDeployment(NODES, engines=4, scorers=4)
    await made.start()
    yield made
    await made.close()


def end_service(deployment, service):
    registry = deployment.nodes[NODES[-1]].replica_registry
    for record in registry.list_service(service):
        deployment.processes.end(record.replica)


def lengthen(deployment, tasks):
    for node in deployment.nodes.values():
        for task in tasks:
            node.engines.lengths[task.task_id] = EVENTS


async def watch(deployment, idle_watch, seconds, batch_id=None):
    """Let time pass; the texts that are whole are read from the results."""
    for _ in range(round(seconds / STEP_SECONDS)):
        await deployment.advance(STEP_SECONDS)
        if batch_id:
            results = await deployment.read(batch_id, node=NODES[-1])
            idle_watch.whole = {result.task_id for result in results}
        idle_watch.observe()


async def run_waves(deployment, idle_watch, waves, batch_id=None):
    for _ in range(waves):
        await watch(deployment, idle_watch, WAVE_SECONDS, batch_id)
        end_service(deployment, 'brewmind')


async def assert_all_complete(deployment, batch_id, tasks):
    results = await deployment.read(batch_id, node=NODES[-1])
    assert {result.task_id for result in results} == {
        task.task_id for task in tasks
    }
    assert {result.state for result in results} == {'completed'}


@pytest.mark.parametrize('size', [4, 8])
@pytest.mark.parametrize('waves', [2, 3, 4, 5])
async def test_tasks_that_meet_waves_of_crashes_are_run_again_at_once(
    deployment, waves, size
):
    batch = make_batch(groups=2, size=size)
    lengthen(deployment, batch.tasks)
    idle_watch = IdleWatch(deployment, batch.tasks)
    await deployment.submit(batch)
    await run_waves(deployment, idle_watch, waves, 'b')
    left = RETENTION_SECONDS - waves * WAVE_SECONDS - 1
    await watch(deployment, idle_watch, left, 'b')
    await assert_all_complete(deployment, 'b', batch.tasks)
    assert idle_watch.longest_seconds <= MAX_IDLE_SECONDS


async def test_tasks_that_met_crashes_are_run_at_once_by_the_next_holder(
    deployment,
):
    """
    The next holder knows the crashes that all nodes have seen.

    A takeover takes some seconds, so only the time after it is watched.
    """
    batch = make_batch(groups=2, size=8)
    lengthen(deployment, batch.tasks)
    await deployment.submit(batch)
    await run_waves(deployment, IdleWatch(deployment, batch.tasks), 5)
    for task in batch.tasks:
        offer_evidence(deployment, identify_task(task))
    holder = next(n for n in deployment.nodes.values() if n.leases._held)
    await holder.kill()
    deployment.alive.remove(holder.name)
    await deployment.advance(5)
    idle_watch = IdleWatch(deployment, batch.tasks)
    await watch(deployment, idle_watch, 20, 'b')
    await assert_all_complete(deployment, 'b', batch.tasks)
    assert idle_watch.longest_seconds <= MAX_IDLE_SECONDS


async def test_tasks_that_met_crashes_are_run_at_once_in_the_next_batch(
    deployment,
):
    first = make_batch(groups=2, size=8)
    lengthen(deployment, first.tasks)
    await deployment.submit(first)
    await run_waves(deployment, IdleWatch(deployment, first.tasks), 5)
    await deployment.nodes['a'].batch_api.end('b')
    await deployment.advance(3)
    await deployment.submit(make_batch('again', tasks=first.tasks))
    idle_watch = IdleWatch(deployment, first.tasks)
    await watch(deployment, idle_watch, 20, 'again')
    await assert_all_complete(deployment, 'again', first.tasks)
    assert idle_watch.longest_seconds <= MAX_IDLE_SECONDS


async def test_evidence_of_other_builds_holds_no_task_back(deployment):
    """Rows of an older node name tasks, which are no suspects any more."""
    batch = make_batch(groups=2)
    lengthen(deployment, batch.tasks)
    for task in batch.tasks:
        offer_evidence(deployment, identify_task(task))
    idle_watch = IdleWatch(deployment, batch.tasks)
    await deployment.submit(batch)
    await watch(deployment, idle_watch, 15, 'b')
    await assert_all_complete(deployment, 'b', batch.tasks)
    assert idle_watch.longest_seconds <= MAX_IDLE_SECONDS


def identify_task(task):
    headers = tuple(
        (name.encode(), text.encode()) for name, text in task.headers
    )
    return identify_request(
        CallerRequest('', b'POST', task.target.encode(), headers, task.body)
    )


def offer_evidence(deployment, digest, crashes=4):
    at = deployment.timers.wall_milliseconds()
    body = json.dumps({'node': 'z', 'at': at})
    rows = [
        EvidenceRow(f'{digest}/crash/x{number}@1', body)
        for number in range(crashes)
    ]
    for node in deployment.nodes.values():
        node.quarantine.receive(rows)


async def test_tasks_are_not_sent_to_engines_that_another_process_replaced(
    deployment,
):
    """
    Guards against runs at engines that ended, while others have room.

    A crashed engine stays listed until its entry lapses, and another process
    listens at its address by then; tasks went there each 0.1 s.
    """
    deployment.processes.rename = change_name
    deployment.processes.keeps_entries = True
    batch = make_batch(groups=2, size=8)
    lengthen(deployment, batch.tasks)
    idle_watch = IdleWatch(deployment, batch.tasks)
    await deployment.submit(batch)
    await run_waves(deployment, idle_watch, 3, 'b')
    await watch(deployment, idle_watch, 20, 'b')
    await assert_all_complete(deployment, 'b', batch.tasks)
    assert not deployment.processes.misdirected
    superseded = deployment.nodes['a'].list_events('replica-superseded')
    assert {event.subject for event in superseded} >= {'e0', 'e1', 'e2', 'e3'}


async def test_engine_at_whose_address_another_process_answers_is_rested(
    deployment,
):
    """The next process is not listed yet, so only its refusals show it."""
    deployment.processes.rename = change_name
    deployment.processes.keeps_entries = True
    deployment.processes.is_listing_late = True
    batch = make_batch(groups=2, size=8)
    lengthen(deployment, batch.tasks)
    await deployment.submit(batch)
    await deployment.advance(1)
    registry = deployment.nodes['a'].replica_registry
    for name in ('e0', 'e1', 'e2'):
        deployment.processes.end(registry.find(name).replica)
    await deployment.advance(RESTART_SECONDS + LAPSE_SECONDS)
    # The rests double from 0.4 s, so at most four of them begin.
    assert deployment.processes.misdirected <= 3 * 8 * 4


async def test_scoring_calls_that_meet_waves_of_crashes_are_made_at_once(
    deployment,
):
    """Each wave ends all scorers while they score the texts."""
    deployment.processes.call_seconds = 1
    batch = make_batch(groups=2)
    await deployment.submit(batch)
    for _ in range(4):
        await deployment.advance(0.8)
        end_service(deployment, 'taproom')
        await deployment.advance(WAVE_SECONDS - 0.8)
    await deployment.advance(2 * MAX_IDLE_SECONDS)
    await assert_all_complete(deployment, 'b', batch.tasks)


async def test_verdict_on_a_request_does_not_concern_an_equal_scoring_call(
    deployment,
):
    """A caller may send what a scoring call sends, and crash replicas."""
    batch = make_batch(tasks=tuple(map(share_scorer_body, make_batch().tasks)))
    request = CallerRequest(
        '1', b'POST', b'/score/1', ((b'Host', HOST.encode()),), b'same'
    )
    offer_evidence(deployment, identify_request(request))
    await deployment.submit(batch)
    await deployment.advance(MAX_IDLE_SECONDS)
    await assert_all_complete(deployment, 'b', batch.tasks)
    # A response to the scoring call clears no request either.
    with pytest.raises(LadderError, match='crashed under the request'):
        await forward(deployment, request)


def share_scorer_body(task):
    scorer = msgspec.structs.replace(task.scorer, body=b'same')
    return msgspec.structs.replace(task, scorer=scorer)


async def forward(deployment, request):
    node = deployment.nodes['a']
    route = node.routes.require().find_route(HOST, '/score/')
    sent = asyncio.ensure_future(node.forwarder.forward(route, request, 2))
    await deployment.advance(1)
    with contextlib.suppress(asyncio.CancelledError):
        return await sent
