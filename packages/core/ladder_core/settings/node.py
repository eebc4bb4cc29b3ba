"""The settings of one node."""

from pathlib import Path
from typing import Annotated

from pydantic import Field

from ladder_core.settings.files import SettingsModel, load_yaml
from ladder_core.settings.policies import PolicySettings

_MAX_TTL_SECONDS = 300
_DEFAULT_BODY_LIMIT_BYTES = 8_000_000

_Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
_Address = Annotated[str, Field(pattern=r'^[0-9.]+:[0-9]{1,5}$')]


class PlatformAddresses(SettingsModel):
    """
    Where the platform's services listen, as ``ip:port``.

    Attributes
    ----------
    table, objects, weights, hosts : str
        Table service, object store, weight store and host list.
    weights_region : str
        Region of the weight store; empty if bytes over links between
        regions need no count.

    """

    table: _Address
    objects: _Address
    weights: _Address
    hosts: _Address
    weights_region: str = ''


class NodeSettings(SettingsModel):
    """
    Settings of one node.

    Attributes
    ----------
    name : str
        Unique name of the node.
    data_centre, region : str
        Where the node stands.
    entry_address : str
        ``ip:port`` for callers.
    peer_address : str
        ``ip:port`` for other nodes.
    platform : PlatformAddresses
        The platform's services.
    policies : PolicySettings
        The policy of each decision.
    addresses_ttl_seconds : float
        Seconds for which callers may keep an answer of ``/v1/addresses``.
    body_limit_bytes : int
        Largest accepted body of a request.
    log_level : str
        Lowest level of logs that are written.

    """

    name: _Name
    data_centre: _Name
    region: _Name
    entry_address: _Address
    peer_address: _Address
    platform: PlatformAddresses
    policies: PolicySettings = PolicySettings()
    addresses_ttl_seconds: float = Field(default=5, gt=0, le=_MAX_TTL_SECONDS)
    body_limit_bytes: int = Field(default=_DEFAULT_BODY_LIMIT_BYTES, gt=0)
    log_level: Annotated[str, Field(pattern='^(DEBUG|INFO|WARNING)$')] = 'INFO'


def load_node_settings(path: Path) -> NodeSettings:
    """
    Read a node's settings file.

    Parameters
    ----------
    path : Path
        The YAML file.

    Returns
    -------
    NodeSettings
        The checked settings.

    Raises
    ------
    SettingsError
        The file is invalid; the message has one line for each fault.

    """
    return load_yaml(path, NodeSettings)
