"""Settings of a node."""

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
    Addresses of the platform services, each as ``ip:port``.

    Attributes
    ----------
    table, objects, weights, hosts : str
        Addresses of the table service, the object store, the weight store
        and the host list.
    weights_region : str
        Region of the weight store; empty if the bytes sent over links
        between regions are not counted.

    """

    table: _Address
    objects: _Address
    weights: _Address
    hosts: _Address
    weights_region: str = ''


class NodeSettings(SettingsModel):
    """
    Content of the settings file of a node.

    Attributes
    ----------
    name : str
        Name of the node, unique among all nodes.
    data_centre, region : str
        Location of the node.
    entry_address : str
        ``ip:port`` on which the node serves callers.
    peer_address : str
        ``ip:port`` on which the node listens to other nodes.
    platform : PlatformAddresses
        Addresses of the platform services.
    policies : PolicySettings
        Policy that the node uses for each kind of decision.
    addresses_ttl_seconds : float
        Seconds for which callers may cache a response of ``/v1/addresses``.
    body_limit_bytes : int
        Maximum size of the body of a request.
    log_level : str
        Lowest level of log lines that are written.

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
    Read and validate the settings file of a node.

    Parameters
    ----------
    path : Path
        Location of the YAML file.

    Returns
    -------
    NodeSettings
        Validated settings.

    Raises
    ------
    SettingsError
        The file is invalid; the message has one line for each fault.

    """
    return load_yaml(path, NodeSettings)
