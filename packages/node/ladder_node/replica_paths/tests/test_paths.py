"""
Guards against a host that doesn't notice that it lost its path to all replicas.

Its heartbeats go on meanwhile, so nothing else tells. The bounds are the
target: a cut and its end are known within two seconds.
"""

import asyncio
import contextlib
import time
from types import SimpleNamespace

import pytest

from ladder_clients.exchanges import OutgoingRequest, Timeouts, TransportError
from ladder_clients.probes import TcpProbe
from ladder_node.replica_paths.tests.fleet import (
    SERVICES,
    PathFleet,
    answer,
)
from ladder_standins.tcp_proxy import PathLoss

BOUND_SECONDS = 2
GET = OutgoingRequest(b'GET', b'/', ((b'Host', b'pub'),))


@pytest.fixture
async def fleet():
    made = PathFleet(4)
    await made.start()
    yield made
    await made.close()


async def cut(node, form, services=SERVICES):
    """Lose the paths of a node to the replicas of some services."""
    for proxy, replica in zip(node.proxies, node.list_replicas(), strict=True):
        if replica.service in services:
            await proxy.strand(form)


async def restore(node):
    for proxy in node.proxies:
        await proxy.restore_path()


async def send(node, number):
    """Send a request to a replica, which is not answered during a cut."""
    with contextlib.suppress(TransportError):
        async with node.pool.exchange(
            node.proxies[number].address, GET, Timeouts(3, 3, 0.3)
        ) as response:
            await response.read()


async def send_to_all(node):
    await asyncio.gather(*(send(node, n) for n in range(len(node.proxies))))


async def wait_until(condition):
    """Return the seconds until a condition holds."""
    began_at = time.monotonic()
    while not condition():
        await asyncio.sleep(0.02)
        assert time.monotonic() - began_at < 3 * BOUND_SECONDS
    return time.monotonic() - began_at


@pytest.mark.parametrize('form', PathLoss)
async def test_a_host_knows_that_it_lost_its_path_and_that_it_is_back(
    fleet, form
):
    node = fleet.nodes['a0']
    await send_to_all(node)
    await cut(node, form)
    requests = asyncio.ensure_future(send_to_all(node))
    if form is PathLoss.refuse:
        # Kept connections live on, so only a new one shows the cut.
        await asyncio.gather(
            *(node.pool.probe(proxy.address, 0.3) for proxy in node.proxies)
        )
    seconds = await wait_until(
        lambda: node.paths.list_lost() == tuple(sorted(SERVICES))
    )
    assert seconds < BOUND_SECONDS
    await restore(node)
    assert await wait_until(lambda: not node.paths.list_lost()) < BOUND_SECONDS
    assert node.list_kinds().count('path-lost') == len(SERVICES)
    assert node.list_kinds().count('path-regained') == len(SERVICES)
    await requests


async def test_a_quiet_host_checks_its_path_when_another_one_lost_its_own(
    fleet,
):
    busy, quiet = fleet.nodes['a0'], fleet.nodes['b1']
    await cut(busy, PathLoss.hang)
    await cut(quiet, PathLoss.hang)
    requests = asyncio.ensure_future(send_to_all(busy))
    seconds = await wait_until(
        lambda: quiet.paths.list_lost() == tuple(sorted(SERVICES))
    )
    assert seconds < 2 * BOUND_SECONDS
    await requests


async def test_a_service_that_is_down_for_all_means_no_lost_path(fleet):
    for node in fleet.nodes.values():
        await cut(node, PathLoss.reset, SERVICES[:1])
    await asyncio.gather(*(send_to_all(node) for node in fleet.nodes.values()))
    await asyncio.sleep(0.5)
    for node in fleet.nodes.values():
        assert 'path-compared' in node.list_kinds()
        assert not node.paths.list_lost()


async def test_nodes_that_are_asked_about_a_crash_ask_no_others(fleet):
    """
    Guards against questions that spread through a whole fleet.

    Each node that was asked found the replicas unreachable itself, and asked
    further nodes: 917 comparisons at 187 of 195 hosts when four replicas
    crashed.
    """
    for node in fleet.nodes.values():
        await cut(node, PathLoss.refuse, SERVICES[:1])
    asking = fleet.nodes['a0']
    await send_to_all(asking)
    await asyncio.sleep(0.8)
    assert 'path-compared' in asking.list_kinds()
    for node in fleet.nodes.values():
        assert node is asking or 'path-compared' not in node.list_kinds()


async def test_a_host_that_is_cut_from_one_service_lost_only_this_path(fleet):
    node = fleet.nodes['a0']
    await cut(node, PathLoss.hang, SERVICES[:1])
    requests = asyncio.ensure_future(send_to_all(node))
    await wait_until(lambda: node.paths.list_lost() == SERVICES[:1])
    await requests
    assert node.paths.list_lost() == SERVICES[:1]


async def test_path_to_a_service_that_is_gone_is_not_lost_for_good(fleet):
    """Guards against a host that is left out of the directory for ever."""
    node = fleet.nodes['a0']
    await cut(node, PathLoss.refuse, SERVICES[:1])
    await send_to_all(node)
    await wait_until(lambda: node.paths.list_lost() == SERVICES[:1])
    left = [one for one in node.list_replicas() if one.service == SERVICES[1]]
    node.registry.replace(left, 0)
    assert await wait_until(lambda: not node.paths.list_lost()) < BOUND_SECONDS


async def test_responses_that_end_with_their_connection_start_no_probe(fleet):
    """Guards against new connections after each body without a length."""

    async def answer_without_length(request, writer):
        writer.write(b'HTTP/1.1 200 OK\r\n\r\nwhole')
        await writer.drain()
        writer.close()

    for target in fleet.targets:
        target.script = answer_without_length
    node = fleet.nodes['a0']
    await send_to_all(node)
    await asyncio.sleep(1.2)
    assert sum(target.connections for target in fleet.targets) == len(
        fleet.targets
    )


async def test_lost_path_is_known_though_the_replica_tried_last_crashed(fleet):
    """Guards against a crash that hides the loss of the path."""
    node, *others = fleet.nodes.values()
    await cut(node, PathLoss.refuse, SERVICES[:1])
    for other in others:
        await other.proxies[1].strand(PathLoss.refuse)
    for number in (0, 1):
        await node.pool.probe(node.proxies[number].address, 0.3)
    assert await node.paths.settle(SERVICES[0])


async def test_sound_paths_are_not_probed(fleet):
    node = fleet.nodes['a0']
    for _ in range(20):
        await send_to_all(node)
        await asyncio.sleep(0.05)
    assert sum(target.connections for target in fleet.targets) == len(
        fleet.targets
    )


async def answer_late(request, writer):
    await asyncio.sleep(2.8)
    await answer(request, writer)


async def test_slow_answer_costs_one_new_connection(fleet):
    """Guards against a path that is probed as often as a replica is slow."""
    node = fleet.nodes['a0']
    for target in fleet.targets:
        target.script = answer_late
    await send(node, 0)
    assert sum(target.connections for target in fleet.targets) == 2
    assert not node.paths.list_lost()


async def test_path_that_is_lost_while_a_replica_is_slow_is_known(fleet):
    """Guards against a cut that is put down to the slow replica."""
    node = fleet.nodes['a0']
    for target in fleet.targets:
        target.script = answer_late
    slow = asyncio.ensure_future(send(node, 0))
    await asyncio.sleep(1)
    await cut(node, PathLoss.hang, SERVICES[:1])
    requests = asyncio.ensure_future(send(node, 1))
    seconds = await wait_until(lambda: node.paths.list_lost() == SERVICES[:1])
    assert seconds < 2 * BOUND_SECONDS
    await asyncio.gather(slow, requests)


async def test_replica_that_refuses_one_host_only_has_not_crashed(fleet):
    """
    Guards against requests in quarantine since their host lost its path.

    It took replicas that refused it for crashed under what it had sent them.
    """
    node = fleet.nodes['a0']
    await cut(node, PathLoss.refuse)
    address = node.proxies[0].address
    assert await TcpProbe(node.timers).is_gone(address)
    assert not await node.parts.probe.is_gone(address)


async def test_replica_that_refuses_all_hosts_has_crashed(fleet):
    for node in fleet.nodes.values():
        await cut(node, PathLoss.refuse)
    node = fleet.nodes['a0']
    assert await node.parts.probe.is_gone(node.proxies[0].address)


async def test_node_that_is_refused_by_a_crashed_replica_may_still_relay(fleet):
    """Guards against sound relays that are left alone after a crash."""
    for node in fleet.nodes.values():
        await node.proxies[0].strand(PathLoss.refuse)
    node = fleet.nodes['a0']
    assert await node.parts.probe.is_gone(node.proxies[0].address)
    relays = node.parts.relays.list_relays(SERVICES[0])
    assert not any(relay.has_failed for relay in relays)


async def test_questions_end_with_the_node(fleet):
    """Guards against tasks that nobody awaits at the close."""
    node = fleet.nodes['a0']
    ended = []

    async def stay_silent(address, message):
        try:
            await asyncio.sleep(9)
        finally:
            await asyncio.sleep(0)
            ended.append(address)

    node.parts.comparer._sender = SimpleNamespace(send=stay_silent)
    asking = asyncio.create_task(
        node.parts.comparer.find_reached(SERVICES[0], ('r0',))
    )
    await asyncio.sleep(0.3)
    await node.paths.close()
    assert len(ended) == len(fleet.nodes) - 1
    asking.cancel()


async def test_crash_is_seen_by_a_host_that_lost_its_path(fleet):
    """
    Guards against requests that crash replicas through other nodes unnoticed.

    The host that sends them gets no answer from any replica.
    """
    node, *others = fleet.nodes.values()
    await send_to_all(node)
    await cut(node, PathLoss.hang)
    await asyncio.gather(
        send_to_all(node), wait_until(lambda: len(node.paths.list_lost()) == 2)
    )
    address = node.proxies[0].address
    assert not await node.parts.probe.is_gone(address)
    for other in others:
        await other.proxies[0].strand(PathLoss.refuse)
    assert await node.parts.probe.is_gone(address)
