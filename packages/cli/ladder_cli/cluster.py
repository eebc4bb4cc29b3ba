"""Ask nodes for what operators want to see."""

import asyncio
from http import HTTPStatus
from typing import TypeVar

import msgspec

from ladder_clients.transport import HttpClient, TransportError
from ladder_core.errors import LadderError, TargetUnavailableError
from ladder_core.timeline import Event, HybridTime

_SUCCESS_STATUSES = frozenset((HTTPStatus.OK, HTTPStatus.ACCEPTED))
_MAX_CONCURRENT_CALLS = 32
_PAGE_EVENTS = 1000

Message = TypeVar('Message')


class ListedNode(msgspec.Struct, frozen=True):
    """
    A node on the platform's host list.

    Attributes
    ----------
    name : str
        Name of the node.
    address : str
        ``ip:port`` of its HTTP server.

    """

    name: str
    address: str


class NodeStatus(msgspec.Struct, frozen=True):
    """
    What a node says of itself.

    Attributes
    ----------
    node : str
        Name of the node.
    data_centre : str
        Where it stands.
    state : str
        ``ready``, ``not-ready``, ``draining``, ``drained`` or
        ``unreachable``.
    revision : int
        Configuration revision in force.
    requests : int
        Requests in progress.
    peers : tuple of str
        Peers that it hears.

    """

    node: str
    data_centre: str = ''
    state: str = 'unreachable'
    revision: int = 0
    requests: int = 0
    peers: tuple[str, ...] = ()


class ClusterClient:
    """
    All nodes that one of them knows.

    Parameters
    ----------
    http : HttpClient
        Transport.
    address : str
        ``ip:port`` of any node.

    """

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address
        self._call_slots = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)

    async def list_nodes(self) -> list[ListedNode]:
        """
        Return the nodes on the platform's host list.

        Raises
        ------
        LadderError
            The asked node does not answer.

        """
        return await self._fetch(self._address, '/v1/nodes', list[ListedNode])

    async def find_node(self, name: str) -> ListedNode:
        """
        Return one node.

        Raises
        ------
        LadderError
            The name is not listed, or the asked node does not answer.

        """
        nodes = await self.list_nodes()
        for node in nodes:
            if node.name == name:
                return node
        names = ', '.join(node.name for node in nodes)
        raise TargetUnavailableError(
            f'node {name} is not on the host list',
            remedy=f'name one of {names}',
        )

    async def read_status(self, node: ListedNode) -> NodeStatus:
        """Return a node's status, also of one that does not answer."""
        try:
            return await self._fetch(node.address, '/v1/status', NodeStatus)
        except LadderError:
            return NodeStatus(node.name)

    async def list_statuses(self) -> list[NodeStatus]:
        """Return the status of all nodes, by name."""
        nodes = sorted(await self.list_nodes(), key=lambda node: node.name)
        reads = (self.read_status(node) for node in nodes)
        return list(await asyncio.gather(*reads))

    async def drain(self, node: ListedNode) -> NodeStatus:
        """
        Begin to drain a node.

        Raises
        ------
        LadderError
            The node does not answer.

        """
        return await self._fetch(node.address, '/v1/drain', NodeStatus, 'POST')

    async def read_events(
        self,
        node: ListedNode,
        after: HybridTime,
    ) -> list[Event]:
        """
        Return a node's events after a stamp, oldest first.

        Raises
        ------
        LadderError
            The node does not answer.

        """
        events: list[Event] = []
        while True:
            path = f'/v1/timeline?after={after.milliseconds}.{after.counter}'
            page = await self._fetch(node.address, path, list[Event])
            events.extend(page)
            if len(page) < _PAGE_EVENTS:
                return events
            after = page[-1].stamp

    async def _fetch(
        self,
        address: str,
        path: str,
        kind: type[Message],
        method: str = 'GET',
    ) -> Message:
        async with self._call_slots:
            try:
                answer = await self._http.fetch(
                    method,
                    f'http://{address}{path}',
                )
            except TransportError as error:
                raise TargetUnavailableError(
                    f'the node at {address} does not answer: {error.message}',
                    remedy='name another node, or start this one',
                ) from error
        if answer.status not in _SUCCESS_STATUSES:
            raise TargetUnavailableError(
                f'the node at {address} answered with status {answer.status}',
                remedy="see the node's log",
            )
        return msgspec.json.decode(answer.body, type=kind)
