"""The operators' lists that are in force on this node."""

from ladder_node.configuration.cache import ConfigurationCache

__all__ = ('ConfigurationCache',)
