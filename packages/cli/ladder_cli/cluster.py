"""Client for the operators' interface of the nodes."""

import asyncio
from http import HTTPStatus
from typing import TypeVar

import msgspec

from ladder_clients.transport import HttpClient, TransportError
from ladder_core.errors import LadderError, TargetUnavailableError
from ladder_core.messages import decode_json
from ladder_core.timeline import Event, HybridTime

_SUCCESS_STATUSES = frozenset((HTTPStatus.OK, HTTPStatus.ACCEPTED))
_MAX_CONCURRENT_CALLS = 32
_PAGE_EVENTS = 1000

Message = TypeVar('Message')


class ListedNode(msgspec.Struct, frozen=True):
    """
    Node on the host list of the platform.

    Attributes
    ----------
    name : str
        Name of the node on the host list.
    address : str
        ``ip:port`` of the HTTP server of the node.

    """

    name: str
    address: str


class NodeStatus(msgspec.Struct, frozen=True):
    """
    Status of a node, as reported by the node itself.

    Attributes
    ----------
    node : str
        Name of the node that the status is about.
    data_centre : str
        Data centre in which the node is located.
    state : str
        ``ready``, ``not-ready``, ``draining``, ``drained`` or
        ``unreachable``, which is the state if the node does not answer.
    revision : int
        Revision of the configuration that the node uses.
    requests : int
        Number of requests in progress.
    peers : tuple of str
        Names of the peers from which the node received gossip recently.

    """

    node: str
    data_centre: str = ''
    state: str = 'unreachable'
    revision: int = 0
    requests: int = 0
    peers: tuple[str, ...] = ()


class ClusterClient:
    """
    Client for all nodes on the host list, which any node returns.

    Parameters
    ----------
    http : HttpClient
        HTTP client for the calls to the nodes.
    address : str
        ``ip:port`` of the node that is asked for the host list.

    """

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address
        self._call_slots = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)

    async def list_nodes(self) -> list[ListedNode]:
        """
        Return the nodes on the host list of the platform.

        Raises
        ------
        LadderError
            The node that is asked for the list does not answer.

        """
        return await self._fetch(self._address, '/v1/nodes', list[ListedNode])

    async def find_node(self, name: str) -> ListedNode:
        """
        Return the node with the given name.

        Raises
        ------
        LadderError
            The name is not listed, or the node that is asked for the list
            does not answer.

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
        """Return the status of a node, `unreachable` if it does not answer."""
        try:
            return await self._fetch(node.address, '/v1/status', NodeStatus)
        except LadderError:
            return NodeStatus(node.name)

    async def list_statuses(self) -> list[NodeStatus]:
        """Return the status of all nodes, sorted by name."""
        nodes = sorted(await self.list_nodes(), key=lambda node: node.name)
        reads = (self.read_status(node) for node in nodes)
        return list(await asyncio.gather(*reads))

    async def drain(self, node: ListedNode) -> NodeStatus:
        """
        Start to drain a node and return its status.

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
        Return the events of a node after a timestamp, oldest first.

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
        message_type: type[Message],
        method: str = 'GET',
    ) -> Message:
        async with self._call_slots:
            try:
                response = await self._http.fetch(
                    method,
                    f'http://{address}{path}',
                )
            except TransportError as error:
                raise TargetUnavailableError(
                    f'the node at {address} does not answer: {error.message}',
                    remedy='name another node, or start this one',
                ) from error
        if response.status not in _SUCCESS_STATUSES:
            raise TargetUnavailableError(
                f'the node at {address} answered with status {response.status}',
                remedy='see the log of the node',
            )
        return decode_json(response.body, message_type)
