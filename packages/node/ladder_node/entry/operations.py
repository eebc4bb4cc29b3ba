"""Addresses, health, metrics and the time line."""

import asyncio

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.requests import Request
from starlette.responses import Response

from ladder_core.errors import BadRequestError
from ladder_core.timeline import HybridTime
from ladder_node.entry.parts import EntryParts

_TIMELINE_LIMIT = 1000
_SHOWN_CHARACTERS = 40
_UNAVAILABLE = 503
_ACCEPTED = 202


class Addresses(msgspec.Struct, frozen=True):
    """
    The entry hosts that a caller may use.

    Attributes
    ----------
    addresses : tuple of str
        ``ip:port``, those of the answering node's data centre first.
    keep_seconds : float
        Seconds for which the answer may be kept.

    """

    addresses: tuple[str, ...]
    keep_seconds: float


class Health(msgspec.Struct, frozen=True):
    """
    State of the node.

    Attributes
    ----------
    node : str
        Name of the node.
    state : str
        ``alive``, ``ready`` or ``not-ready``.

    """

    node: str
    state: str


class Status(msgspec.Struct, frozen=True):
    """
    What operators see of a node.

    Attributes
    ----------
    node : str
        Name of the node.
    data_centre, region : str
        Where it stands.
    state : str
        ``ready``, ``not-ready``, ``draining`` or ``drained``.
    revision : int
        Configuration revision in force.
    requests : int
        Requests in progress.
    peers : tuple of str
        Peers heard lately.

    """

    node: str
    data_centre: str
    region: str
    state: str
    revision: int
    requests: int
    peers: tuple[str, ...]


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


class OperationRoutes:
    """
    Answer what operators and callers ask of the node itself.

    Parameters
    ----------
    parts : EntryParts
        The node's parts.

    """

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts
        self._drainage: asyncio.Task[None] | None = None

    async def list_addresses(self, request: Request) -> Response:
        """Answer ``GET /v1/addresses``."""
        settings = self._parts.settings
        hosts = sorted(
            self._parts.nodes.entry_hosts,
            key=lambda host: (
                host.region != settings.region,
                host.data_centre != settings.data_centre,
                host.name,
            ),
        )
        addresses = tuple(host.address for host in hosts)
        return _answer(Addresses(addresses, settings.addresses_ttl_seconds))

    async def read_health(self, request: Request) -> Response:
        """Answer ``GET /healthz``: the process is alive."""
        return _answer(Health(self._parts.settings.name, 'alive'))

    async def read_readiness(self, request: Request) -> Response:
        """Answer ``GET /readyz``: the node has its configuration."""
        name = self._parts.settings.name
        if self._parts.configuration.is_ready:
            return _answer(Health(name, 'ready'))
        return _answer(Health(name, 'not-ready'), _UNAVAILABLE)

    async def list_nodes(self, request: Request) -> Response:
        """Answer ``GET /v1/nodes``: all listed nodes, also leaving ones."""
        hosts = self._parts.targets.entry_hosts
        return _answer([ListedNode(one.name, one.address) for one in hosts])

    async def read_status(self, request: Request) -> Response:
        """Answer ``GET /v1/status``."""
        return _answer(self._make_status())

    async def begin_drain(self, request: Request) -> Response:
        """Answer ``POST /v1/drain``: begin to drain, without an exit."""
        if self._drainage is None:
            self._drainage = asyncio.create_task(self._parts.drain.run())
        # The drain marks the node before it waits for the first time.
        await asyncio.sleep(0)
        return _answer(self._make_status(), _ACCEPTED)

    async def read_metrics(self, request: Request) -> Response:
        """Answer ``GET /metrics``."""
        return Response(generate_latest(), media_type=CONTENT_TYPE_LATEST)

    async def read_timeline(self, request: Request) -> Response:
        """Answer ``GET /v1/timeline?after=milliseconds.counter``."""
        after = _parse_stamp(request.query_params.get('after', '0.0'))
        events = self._parts.timeline.read(after, _TIMELINE_LIMIT)
        return _answer(events)

    def _make_status(self) -> Status:
        settings = self._parts.settings
        lists = self._parts.configuration.known_lists
        return Status(
            node=settings.name,
            data_centre=settings.data_centre,
            region=settings.region,
            state=self._name_state(),
            revision=lists.revision if lists else 0,
            requests=self._parts.drain.requests,
            peers=self._parts.gossip.peers,
        )

    def _name_state(self) -> str:
        if self._parts.drain.is_done:
            return 'drained'
        if self._parts.drain.is_leaving:
            return 'draining'
        return 'ready' if self._parts.configuration.is_ready else 'not-ready'


def _parse_stamp(text: str) -> HybridTime:
    parts = text.split('.')
    try:
        milliseconds, counter = (int(part) for part in parts)
    except ValueError as error:
        raise BadRequestError(
            f'no stamp: {text[:_SHOWN_CHARACTERS]!r}',
            remedy='send milliseconds and counter, joined by a full stop',
        ) from error
    return HybridTime(milliseconds, counter)


def _answer(message: object, status: int = 200) -> Response:
    body = msgspec.json.encode(message)
    return Response(body, status, media_type='application/json')
