"""
Guards against a holder of the duty that lost its path to the engines.

Its path to the table was sound, so it renewed its lease, and no task of any
trainer ran until the cut ended; versions were not loaded.
"""

from functools import partial

import pytest

from ladder_core.errors import TargetUnavailableError
from ladder_node.batches import DutyOffer
from ladder_node.batches.tests.fakes import (
    EVENT_SECONDS,
    FakeDeployment,
    make_batch,
)

LONG_EVENTS = 120
# The target: the duty is elsewhere this long after the path is lost.
HANDOVER_SECONDS = 1.5
ENGINES = ('brewmind',)


@pytest.fixture
async def deployment():
    made = FakeDeployment(nodes=('a', 'b', 'c'))
    await made.start()
    yield made
    await made.close()


def find_owner(deployment):
    """Return the node that holds the duty now."""
    holders = [
        name
        for name, node in deployment.nodes.items()
        if node.list_kinds().count('duty-begun')
        > node.list_kinds().count('duty-ended')
    ]
    assert len(holders) <= 1
    return holders[0] if holders else ''


def count_tenures(deployment):
    return sum(
        node.list_kinds().count('duty-begun')
        for node in deployment.nodes.values()
    )


def make_long(deployment):
    for node in deployment.nodes.values():
        for number in range(4):
            node.engines.lengths[f'b-g0-{number}'] = LONG_EVENTS


async def test_holder_without_a_path_hands_over_by_plan(deployment):
    owner = find_owner(deployment)
    deployment.lost_services[owner] = ENGINES
    await deployment.advance(HANDOVER_SECONDS)
    assert find_owner(deployment) not in {'', owner}
    assert 'lease-released' in deployment.nodes[owner].list_kinds()
    assert 'lease-lost' not in deployment.nodes[owner].list_kinds()


async def test_texts_go_on_where_the_last_holder_left_them(deployment):
    """Guards against events that are generated twice by a planned handover."""
    make_long(deployment)
    await deployment.submit(make_batch())
    await deployment.advance(1)
    owner = find_owner(deployment)
    before = deployment.nodes[owner].engines
    deployment.lost_services[owner] = ENGINES
    await deployment.advance(HANDOVER_SECONDS)
    assert not before.running
    after = deployment.nodes[find_owner(deployment)].engines
    assert sorted(task for _, task, _ in after.runs) == [
        f'b-g0-{number}' for number in range(4)
    ]
    # The holder runs tasks until it hands over.
    assert all(last > 1 / EVENT_SECONDS for _, _, last in after.runs)
    await deployment.advance(LONG_EVENTS * EVENT_SECONDS)
    assert len(await deployment.read('b')) == 4


async def lose_order(replica, order):
    raise TargetUnavailableError('no path', remedy='send it later')


async def test_version_is_loaded_although_the_holder_was_cut(deployment):
    owner = find_owner(deployment)
    deployment.lost_services[owner] = ENGINES
    deployment.nodes[owner].engines.order_version = lose_order
    for node in deployment.nodes.values():
        node.versions.offer('cask', 2)
    await deployment.submit(make_batch(min_version=2))
    await deployment.advance(HANDOVER_SECONDS + 3)
    assert len(await deployment.read('b')) == 4


async def test_cut_host_takes_no_duty(deployment):
    owner = find_owner(deployment)
    others = [name for name in deployment.nodes if name != owner]
    deployment.lost_services[owner] = ENGINES
    deployment.lost_services[others[0]] = ENGINES
    await deployment.advance(HANDOVER_SECONDS)
    assert find_owner(deployment) == others[1]


async def test_duty_goes_to_a_host_that_reaches_the_engines(deployment):
    """
    Guards against a duty that wanders from one cut host to the next.

    A quiet host does not know yet that it is cut, too (grown ergasia, stranded,
    seed 1: the duty went to a second cut host for 1.8 s).
    """
    owner = find_owner(deployment)
    quiet, sound = (name for name in deployment.nodes if name != owner)
    deployment.lost_services[owner] = ENGINES
    deployment.reached_by = {sound}
    deployment.nodes[quiet].owner.receive_offer(DutyOffer('batches'))
    await deployment.advance(HANDOVER_SECONDS)
    assert find_owner(deployment) == sound
    assert count_tenures(deployment) == 2


async def test_offer_that_is_not_taken_up_is_forgotten(deployment, monkeypatch):
    """Guards against a node that tries without a pause after an offer."""
    owner = find_owner(deployment)
    other = next(name for name in deployment.nodes if name != owner)
    node = deployment.nodes[other]
    node.owner.receive_offer(DutyOffer('batches'))
    deployment.lost_services[other] = ENGINES
    attempts: list[int] = []
    monkeypatch.setattr(
        node.owner, '_try_acquire', partial(record_attempt, attempts)
    )
    await deployment.advance(3)
    assert len(attempts) <= 3 / 0.3 + 1


async def record_attempt(attempts):
    attempts.append(1)


async def test_duty_stays_if_the_path_is_back_during_the_search(
    deployment, monkeypatch
):
    """Guards against a handover for a path that is there again."""
    owner = find_owner(deployment)
    node = deployment.nodes[owner]
    find_node = deployment.find_node

    async def find_late(service):
        deployment.lost_services[owner] = ()
        await node.timers.sleep(0.1)
        return await find_node(service)

    monkeypatch.setattr(
        node.owner._dependencies.fitness, '_find_node', find_late
    )
    deployment.lost_services[owner] = ENGINES
    await deployment.advance(HANDOVER_SECONDS)
    assert find_owner(deployment) == owner
    assert count_tenures(deployment) == 1


async def test_another_host_takes_the_duty_if_the_offer_is_lost(deployment):
    owner = find_owner(deployment)
    deployment.are_offers_lost = True
    deployment.lost_services[owner] = ENGINES
    await deployment.advance(HANDOVER_SECONDS + 2)
    assert find_owner(deployment) not in {'', owner}


async def test_duty_stays_if_all_hosts_are_cut(deployment):
    owner = find_owner(deployment)
    for name in deployment.nodes:
        deployment.lost_services[name] = ENGINES
    await deployment.advance(10)
    assert find_owner(deployment) == owner
    assert count_tenures(deployment) == 1


async def test_duty_does_not_wander_with_paths_that_come_and_go(deployment):
    for _ in range(8):
        for name in deployment.nodes:
            deployment.lost_services[name] = ENGINES
            await deployment.advance(0.5)
            deployment.lost_services[name] = ()
            await deployment.advance(0.1)
    assert count_tenures(deployment) == 1


async def test_duty_stays_if_only_scorers_are_out_of_reach(deployment):
    owner = find_owner(deployment)
    deployment.lost_services[owner] = ('taproom',)
    await deployment.advance(HANDOVER_SECONDS)
    assert find_owner(deployment) == owner
