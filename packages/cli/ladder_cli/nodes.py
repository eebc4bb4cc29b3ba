"""Commands for the nodes."""

import asyncio
import sys

from ladder_cli.clients import open_http_client
from ladder_cli.cluster import ClusterClient, ListedNode, NodeStatus
from ladder_core.errors import LadderError
from ladder_core.timeline import Event, HybridTime, merge_events
from ladder_core.timers import SystemTimerService

_POLL_INTERVAL_SECONDS = 0.5
_DRAINED_STATES = frozenset(('drained', 'unreachable'))
_ROW_FORMAT = '{:<24} {:<16} {:<12} {:>8} {:>8}  {}\n'


def status(*, node: str) -> None:
    """
    Show the state of all nodes.

    :param node: Address of any node, ip:port.
    """
    statuses = asyncio.run(_read_statuses(node))
    sys.stdout.write(
        _ROW_FORMAT.format(
            'node',
            'data centre',
            'state',
            'revision',
            'requests',
            'peers',
        ),
    )
    for node_status in statuses:
        sys.stdout.write(_format_status(node_status))


def drain(name: str, *, node: str, wait: bool = True) -> None:
    """
    Take a node out of service gracefully; its process keeps running.

    :param name: Name of the node to drain.
    :param node: Address of any node, ip:port.
    :param wait: Wait until the node is drained.
    """
    state = asyncio.run(_drain(name, node, wait))
    sys.stdout.write(f'{name} is {state}\n')


def timeline(*, node: str, after: str = '0.0') -> None:
    """
    Show the events of all nodes in causal order.

    :param node: Address of any node, ip:port.
    :param after: Show only later events; timestamp as milliseconds.counter.
    """
    for event in asyncio.run(_read_timeline(node, _parse_stamp(after))):
        sys.stdout.write(_format_event(event))


async def _read_statuses(address: str) -> list[NodeStatus]:
    async with open_http_client() as http:
        return await ClusterClient(http, address).list_statuses()


async def _drain(name: str, address: str, is_waiting: bool) -> str:
    timers = SystemTimerService()
    async with open_http_client() as http:
        cluster = ClusterClient(http, address)
        node = await cluster.find_node(name)
        state = (await cluster.drain(node)).state
        while is_waiting and state not in _DRAINED_STATES:
            await timers.sleep(_POLL_INTERVAL_SECONDS)
            state = (await cluster.read_status(node)).state
    return state


async def _read_timeline(address: str, after: HybridTime) -> list[Event]:
    async with open_http_client() as http:
        cluster = ClusterClient(http, address)
        nodes = await cluster.list_nodes()
        reads = (_read_events(cluster, node, after) for node in nodes)
        return merge_events(await asyncio.gather(*reads))


async def _read_events(
    cluster: ClusterClient,
    node: ListedNode,
    after: HybridTime,
) -> list[Event]:
    """Return the events of a node; a failure is printed and gives no events."""
    try:
        return await cluster.read_events(node, after)
    except LadderError as error:
        sys.stderr.write(f'{error.message}\n')
        return []


def _parse_stamp(text: str) -> HybridTime:
    milliseconds, _, counter = text.partition('.')
    try:
        return HybridTime(int(milliseconds), int(counter or 0))
    except ValueError:
        sys.stderr.write(
            f'--after: {text!r} is not a timestamp (milliseconds.counter)\n'
        )
        sys.exit(2)


def _format_status(node_status: NodeStatus) -> str:
    return _ROW_FORMAT.format(
        node_status.node,
        node_status.data_centre,
        node_status.state,
        node_status.revision,
        node_status.requests,
        ' '.join(node_status.peers),
    )


def _format_event(event: Event) -> str:
    stamp = f'{event.stamp.milliseconds}.{event.stamp.counter}'
    details = ' '.join(f'{name}={text}' for name, text in event.fields.items())
    return f'{stamp} {event.node} {event.kind} {event.subject} {details}\n'
