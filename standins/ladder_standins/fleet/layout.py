"""What a system of processes consists of."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class NodeLayout:
    """
    One node.

    Attributes
    ----------
    name : str
        Name of the node.
    data_centre, region : str
        Where it stands.

    """

    name: str
    data_centre: str
    region: str


@dataclass(frozen=True, slots=True)
class EngineLayout:
    """
    One engine.

    Attributes
    ----------
    name : str
        Name of the engine.
    data_centre, region : str
        Where it stands.
    model, pool : str
        What it serves.
    tokens_per_second : float
        Rate of one stream.
    batch_limit : int
        Largest batch.
    checks_fencing : bool
        Whether it refuses old fencing tokens.

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
    A system.

    Attributes
    ----------
    nodes : tuple of NodeLayout
        The entry hosts.
    engines : tuple of EngineLayout
        The engines.
    services : int
        Replicas of the plain service, placed beside the nodes in turn.
    service_pool : str
        Pool of the plain service.
    scorers : int
        Scorers.
    lag_seconds : float
        Lag of the host list.
    policies : mapping of str to str
        The nodes' policies; see `ladder_core.settings.PolicySettings`.
    weight_bytes : int
        Size of a weight version.
    weight_bytes_per_second : float
        Rate limit of the weight store.

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
