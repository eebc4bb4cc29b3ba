"""Layout of a fleet: its nodes, engines and services, and their settings."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class NodeLayout:
    """
    Layout of one node.

    Attributes
    ----------
    name : str
        Name of the node and of its process.
    data_centre, region : str
        Location of the node.

    """

    name: str
    data_centre: str
    region: str


@dataclass(frozen=True, slots=True)
class EngineLayout:
    """
    Layout of one engine.

    Attributes
    ----------
    name : str
        Name of the engine and of its process.
    data_centre, region : str
        Location of the engine.
    model, pool : str
        Model that the engine serves, and pool that it belongs to.
    tokens_per_second : float
        Rate of one stream in an otherwise empty batch.
    batch_limit : int
        Largest number of requests in the batch.
    checks_fencing : bool
        Whether the engine refuses orders with a stale fencing token.

    """

    name: str
    data_centre: str
    region: str
    model: str = 'cask'
    pool: str = 'brewmind'
    tokens_per_second: float = 400
    batch_limit: int = 16
    checks_fencing: bool = True


@dataclass(frozen=True, slots=True)
class Layout:
    """
    Layout of a whole system.

    Attributes
    ----------
    nodes : tuple of NodeLayout
        Nodes, which are the entry hosts of the system.
    engines : tuple of EngineLayout
        Model engines of all pools.
    services : int
        Number of replicas of the service. They are assigned to the data
        centres of the nodes in turn.
    service_pool : str
        Pool of the replicas of the service.
    scorers : int
        Number of scorers, which are assigned like the replicas.
    lag_seconds : float
        Time until a change of the host list is visible, in seconds.
    policies : mapping of str to str
        Policies in the settings of all nodes; see
        `ladder_core.settings.PolicySettings`.
    weight_bytes : int
        Size of each weight version, in bytes.
    weight_bytes_per_second : float
        Rate limit of the weight store over all readers.

    """

    nodes: tuple[NodeLayout, ...] = (
        NodeLayout('node-1', 'leith', 'lowlands'),
        NodeLayout('node-2', 'govan', 'lowlands'),
        NodeLayout('node-3', 'govan', 'lowlands'),
    )
    engines: tuple[EngineLayout, ...] = (
        EngineLayout('engine-1', 'leith', 'lowlands'),
        EngineLayout('engine-2', 'govan', 'lowlands'),
        EngineLayout('engine-3', 'govan', 'lowlands'),
    )
    services: int = 2
    scorers: int = 1
    lag_seconds: float = 0
    service_pool: str = 'taproom'
    policies: Mapping[str, str] = field(default_factory=dict)
    weight_bytes: int = 1_000_000
    weight_bytes_per_second: float = 10_000_000
