"""Settings files, validated when they are read."""

from ladder_core.settings.files import load_yaml
from ladder_core.settings.lists import read_lists
from ladder_core.settings.node import NodeSettings, load_node_settings
from ladder_core.settings.policies import PolicySettings, RoutingPolicy

__all__ = (
    'NodeSettings',
    'PolicySettings',
    'RoutingPolicy',
    'load_node_settings',
    'load_yaml',
    'read_lists',
)
