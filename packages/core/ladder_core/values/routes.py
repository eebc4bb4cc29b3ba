"""Routes: which service takes a request, and under which limits."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

_SEPARATOR = '/'


class RouteKind(StrEnum):
    """What may be done again with the requests of a route."""

    idempotent = 'idempotent'
    non_idempotent = 'non-idempotent'
    streaming = 'streaming'
    batch = 'batch'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """
    A service's share of a route's requests.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Its part, relative to the other shares.

    """

    service: str
    weight: float = 1


@dataclass(frozen=True, slots=True)
class Route:
    """
    How the requests of one prefix are handled.

    Attributes
    ----------
    name : str
        Name of the route.
    host : str
        Host that the requests name.
    prefix : str
        What their paths begin with; begins and ends with a slash.
    kind : RouteKind
        What may be done again.
    shares : tuple of ServiceShare
        Where the requests go.
    timeout_seconds : float
        Longest time that a caller is kept waiting.
    latency_objective_seconds : float
        Time within which an answer is wanted.
    priority : int
        Rank among routes; zero is the most urgent.
    max_attempts : int
        Largest number of targets that one request may be sent to.
    is_resumable : bool
        Whether a stream may go on at another target.
    step_seconds : float
        Time in which all results of a batch are wanted.
    retention_seconds : float
        Time after which a task of a batch may be given up.
    needs_one_version : bool
        Whether one weight version must make a whole text.

    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_seconds: float = 10
    latency_objective_seconds: float = 1
    priority: int = 0
    max_attempts: int = 1
    is_resumable: bool = False
    step_seconds: float = 10
    retention_seconds: float = 60
    needs_one_version: bool = False


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """
    A service that routes lead to.

    Attributes
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one of its targets accepts from all callers.
    slots : int
        Requests that one of its engines processes together; zero for a
        service without engines.
    kv_cache_tokens : int
        Tokens that fit into the cache of one of its engines.
    tokens_per_event : int
        Tokens of one event of its streams.
    models : tuple of str
        Models that its engines can run.

    """

    name: str
    max_connections: int = 64
    slots: int = 0
    kv_cache_tokens: int = 0
    tokens_per_event: int = 1
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """
    What callers may send, and how long they may take.

    Attributes
    ----------
    max_body_bytes : int
        Largest body.
    idle_timeout_seconds : float
        Longest time between two requests of a connection.

    """

    max_body_bytes: int = 33_554_432
    idle_timeout_seconds: float = 60


class RouteTable:
    """
    One accepted configuration.

    Parameters
    ----------
    revision : int
        Its number; a later configuration has a higher one.
    routes : iterable of Route
        The routes.
    services : iterable of ServiceEntry
        The services.
    limits : CallerLimits
        Limits of callers.

    Examples
    --------
    >>> shares = (ServiceShare('taproom'),)
    >>> kind = RouteKind.idempotent
    >>> routes = [
    ...     Route('all', 'pub.example', '/', kind, shares),
    ...     Route('kegs', 'pub.example', '/kegs/', kind, shares),
    ... ]
    >>> table = RouteTable(1, routes, (), CallerLimits())
    >>> table.find_route('pub.example', '/kegs/7?full=1').name
    'kegs'
    >>> table.find_route('pub.example', '/casks').name
    'all'
    >>> table.find_route('cellar.example', '/kegs/7') is None
    True

    """

    def __init__(
        self,
        revision: int,
        routes: Iterable[Route],
        services: Iterable[ServiceEntry],
        limits: CallerLimits,
    ) -> None:
        self._revision = revision
        self._limits = limits
        self._services = {service.name: service for service in services}
        self._routes: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route

    @property
    def revision(self) -> int:
        """Number of the configuration."""
        return self._revision

    @property
    def limits(self) -> CallerLimits:
        """Limits of callers."""
        return self._limits

    @property
    def services(self) -> dict[str, ServiceEntry]:
        """The services by name."""
        return self._services

    def list_routes(self) -> list[Route]:
        """Return all routes."""
        return [
            route
            for routes in self._routes.values()
            for route in routes.values()
        ]

    def find_route(self, host: str, path: str) -> Route | None:
        """
        Return the route with the longest prefix that begins a path.

        Explanation
        -----------
        Prefixes end with a slash, so one look-up for each slash of the path
        is enough, however many routes there are.

        Parameters
        ----------
        host : str
            Host that the request names, without a port.
        path : str
            Path of the request; a query may follow.

        """
        prefixes = self._routes.get(host)
        if prefixes is None:
            return None
        path = path.partition('?')[0]
        end = path.rfind(_SEPARATOR)
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(_SEPARATOR, 0, end)
        return None
