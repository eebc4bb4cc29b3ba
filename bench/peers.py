"""Cost and propagation time of gossip between nodes, at several sizes."""

import asyncio
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

import defopt

from ladder_core.timers import SystemTimerService
from ladder_core.values import Lists
from ladder_node.peers import Fact, FactKind
from ladder_node.peers.tests.fakes import FakeNode, make_members, run_nodes

_DATA_CENTRE_COUNT = 11
_NODE_COUNTS = (33, 110, 363)
_SETTLE_SECONDS = 6
_POLL_INTERVAL_SECONDS = 0.02
_PROPAGATION_TIMEOUT_SECONDS = 60
_NODE_REFRESH_SECONDS = 10
_PERCENT = 100
_BYTES_PER_KILOBYTE = 1000


@dataclass(frozen=True, slots=True)
class Measurement:
    """
    Measurement of one number of nodes.

    Attributes
    ----------
    nodes : int
        Number of nodes, which all run in this process.
    messages_per_second : float
        Messages that a node sends in a second, on average.
    max_messages_per_second : float
        Messages in a second of the node that sends most.
    kilobytes_per_second : float
        Kilobytes that a node sends in a second, on average.
    core_percent : float
        Processor time of a node in percent of a core, without the cost of
        sockets.
    fact_seconds : tuple of float
        Time until all nodes knew a fact, for each fact.
    lists_seconds : tuple of float
        Time until all nodes had new lists while the store was unavailable,
        for each revision of the lists.

    """

    nodes: int
    messages_per_second: float
    max_messages_per_second: float
    kilobytes_per_second: float
    core_percent: float
    fact_seconds: tuple[float, ...]
    lists_seconds: tuple[float, ...]


async def measure(per_centre: int, seconds: float, runs: int) -> Measurement:
    """Run nodes in eleven data centres and measure their gossip."""
    members = make_members(_DATA_CENTRE_COUNT, per_centre)
    async with run_nodes(SystemTimerService(), members) as (network, nodes):
        await asyncio.sleep(_SETTLE_SECONDS)
        refresh_task = asyncio.create_task(_refresh(nodes))
        network.frames.clear()
        network.bytes.clear()
        cpu_seconds = time.process_time()
        await asyncio.sleep(seconds)
        cpu_seconds = time.process_time() - cpu_seconds
        frames = dict(network.frames)
        total_bytes = sum(network.bytes.values())
        facts = [
            await _time_fact_propagation(nodes, number)
            for number in range(runs)
        ]
        lists = [
            await _time_lists_propagation(nodes, number)
            for number in range(runs)
        ]
        refresh_task.cancel()
        await asyncio.gather(refresh_task, return_exceptions=True)
        node_seconds = len(nodes) * seconds
        return Measurement(
            len(nodes),
            sum(frames.values()) / node_seconds,
            max(frames.values()) / seconds,
            total_bytes / node_seconds / _BYTES_PER_KILOBYTE,
            cpu_seconds / node_seconds * _PERCENT,
            tuple(facts),
            tuple(lists),
        )


async def _refresh(nodes: dict[str, FakeNode]) -> None:
    """Publish a fact about each node, evenly spread over the refresh period."""
    pause = _NODE_REFRESH_SECONDS / len(nodes)
    while True:
        for name, node in nodes.items():
            fact = Fact(
                FactKind.node,
                name,
                3 * _NODE_REFRESH_SECONDS,
                bytes(50),
                is_lasting=False,
                is_fleet_wide=False,
            )
            node.gossip.publish(fact)
            await asyncio.sleep(pause)


async def _time_fact_propagation(
    nodes: dict[str, FakeNode], number: int
) -> float:
    origin = list(nodes.values())[number * 7 % len(nodes)]
    key = f'fact-{number}'
    started_at = time.monotonic()
    origin.gossip.publish(Fact(FactKind.suspect, key, 600))
    await _wait_until(
        lambda: all(
            any(
                fact.key == key
                for fact in node.gossip.list_facts(FactKind.suspect)
            )
            for node in nodes.values()
        ),
    )
    return time.monotonic() - started_at


async def _time_lists_propagation(
    nodes: dict[str, FakeNode], number: int
) -> float:
    origin = list(nodes.values())[number * 11 % len(nodes)]
    revision = number + 2
    started_at = time.monotonic()
    origin.source.offer(Lists(revision=revision))
    await _wait_until(
        lambda: all(
            node.source.lists is not None
            and node.source.lists.revision >= revision
            for node in nodes.values()
        ),
    )
    return time.monotonic() - started_at


async def _wait_until(is_reached: Callable[[], bool]) -> None:
    async with asyncio.timeout(_PROPAGATION_TIMEOUT_SECONDS):
        while not is_reached():
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)


def peers(*, seconds: float = 10, runs: int = 8) -> None:
    """
    Print a table of measurements at three sizes.

    :param seconds: Seconds for which messages are counted.
    :param runs: Number of facts and of lists whose propagation is timed.
    """
    sys.stdout.write(
        '| nodes | messages/s | most | KB/s | core % | '
        'fact s (least to most) | lists s (least to most) |\n'
        '|---|---|---|---|---|---|---|\n',
    )
    for size in _NODE_COUNTS:
        measured = asyncio.run(
            measure(size // _DATA_CENTRE_COUNT, seconds, runs)
        )
        sys.stdout.write(_format(measured))


def _format(measured: Measurement) -> str:
    facts, lists = measured.fact_seconds, measured.lists_seconds
    return (
        f'| {measured.nodes} | {measured.messages_per_second:.1f} | '
        f'{measured.max_messages_per_second:.1f} | '
        f'{measured.kilobytes_per_second:.2f} | '
        f'{measured.core_percent:.2f} | '
        f'{min(facts):.2f} to {max(facts):.2f} | '
        f'{min(lists):.2f} to {max(lists):.2f} |\n'
    )


if __name__ == '__main__':
    defopt.run(peers)
