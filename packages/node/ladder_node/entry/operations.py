"""Routes for addresses, health, status, metrics and the timeline."""

import asyncio

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.requests import Request
from starlette.responses import Response

from ladder_core.errors import BadRequestError
from ladder_core.timeline import HybridTime
from ladder_node.entry.dependencies import EntryDependencies

_MAX_TIMELINE_EVENTS = 1000
_SHOWN_CHARACTERS = 40
_UNAVAILABLE_STATUS = 503
_ACCEPTED_STATUS = 202


class Addresses(msgspec.Struct, frozen=True):
    """
    Entry hosts that a caller may use.

    Attributes
    ----------
    addresses : tuple of str
        ``ip:port`` of each host; those of the answering node's data centre
        come first, then those of its region.
    keep_seconds : float
        Seconds for which the caller may cache the response.

    """

    addresses: tuple[str, ...]
    keep_seconds: float


class Health(msgspec.Struct, frozen=True):
    """
    Response of the health and readiness checks.

    Attributes
    ----------
    node : str
        Name of the node from its settings.
    state : str
        ``alive``, ``ready`` or ``not-ready``.

    """

    node: str
    state: str


class Status(msgspec.Struct, frozen=True):
    """
    Status of a node for operators.

    Attributes
    ----------
    node : str
        Name of the node from its settings.
    data_centre, region : str
        Location of the node from its settings.
    state : str
        ``ready``, ``not-ready``, ``draining`` or ``drained``.
    revision : int
        Revision of the configuration in force; zero if none was read.
    requests : int
        Number of requests in progress.
    peers : tuple of str
        Names of the peers from which gossip arrived recently.

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
        Name of the node on the list.
    address : str
        ``ip:port`` of its HTTP server.

    """

    name: str
    address: str


class OperationRoutes:
    """
    Answer requests about the node itself.

    Parameters
    ----------
    dependencies : EntryDependencies
        Settings, configuration and dispatchers that the routes use.

    """

    def __init__(self, dependencies: EntryDependencies) -> None:
        self._dependencies = dependencies
        self._drain_task: asyncio.Task[None] | None = None

    async def list_addresses(self, request: Request) -> Response:
        """Answer ``GET /v1/addresses``."""
        settings = self._dependencies.settings
        hosts = sorted(
            self._dependencies.nodes.entry_hosts,
            key=lambda host: (
                host.region != settings.region,
                host.data_centre != settings.data_centre,
                host.name,
            ),
        )
        addresses = tuple(host.address for host in hosts)
        return _make_response(
            Addresses(addresses, settings.addresses_ttl_seconds)
        )

    async def read_health(self, request: Request) -> Response:
        """Answer ``GET /healthz``: the process answers requests."""
        return _make_response(Health(self._dependencies.settings.name, 'alive'))

    async def read_readiness(self, request: Request) -> Response:
        """Answer ``GET /readyz``: whether the configuration is fresh."""
        name = self._dependencies.settings.name
        if self._dependencies.configuration.is_ready:
            return _make_response(Health(name, 'ready'))
        return _make_response(Health(name, 'not-ready'), _UNAVAILABLE_STATUS)

    async def list_nodes(self, request: Request) -> Response:
        """Answer ``GET /v1/nodes``: all listed nodes, draining ones too."""
        hosts = self._dependencies.targets.entry_hosts
        return _make_response(
            [ListedNode(host.name, host.address) for host in hosts]
        )

    async def read_status(self, request: Request) -> Response:
        """Answer ``GET /v1/status``."""
        return _make_response(self._make_status())

    async def begin_drain(self, request: Request) -> Response:
        """Answer ``POST /v1/drain``: drain, but keep the process running."""
        if self._drain_task is None:
            self._drain_task = asyncio.create_task(
                self._dependencies.drain.run()
            )
        # The drain sets its state before it first waits, so the status below
        # already shows it.
        await asyncio.sleep(0)
        return _make_response(self._make_status(), _ACCEPTED_STATUS)

    async def read_metrics(self, request: Request) -> Response:
        """Answer ``GET /metrics``."""
        return Response(generate_latest(), media_type=CONTENT_TYPE_LATEST)

    async def read_timeline(self, request: Request) -> Response:
        """Answer ``GET /v1/timeline?after=milliseconds.counter``."""
        after = _parse_hybrid_time(request.query_params.get('after', '0.0'))
        events = self._dependencies.timeline.read(after, _MAX_TIMELINE_EVENTS)
        return _make_response(events)

    def _make_status(self) -> Status:
        settings = self._dependencies.settings
        lists = self._dependencies.configuration.known_lists
        return Status(
            node=settings.name,
            data_centre=settings.data_centre,
            region=settings.region,
            state=self._describe_state(),
            revision=lists.revision if lists else 0,
            requests=self._dependencies.drain.requests,
            peers=self._dependencies.gossip.peers,
        )

    def _describe_state(self) -> str:
        if self._dependencies.drain.is_done:
            return 'drained'
        if self._dependencies.drain.is_leaving:
            return 'draining'
        return (
            'ready'
            if self._dependencies.configuration.is_ready
            else 'not-ready'
        )


def _parse_hybrid_time(text: str) -> HybridTime:
    parts = text.split('.')
    try:
        milliseconds, counter = (int(part) for part in parts)
    except ValueError as error:
        raise BadRequestError(
            f'no stamp: {text[:_SHOWN_CHARACTERS]!r}',
            remedy='send milliseconds and counter, joined by a full stop',
        ) from error
    return HybridTime(milliseconds, counter)


def _make_response(message: object, status: int = 200) -> Response:
    body = msgspec.json.encode(message)
    return Response(body, status, media_type='application/json')
