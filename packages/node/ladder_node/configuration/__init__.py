"""The operators' lists as this node has them in force."""

from ladder_node.configuration.cache import ConfigurationCache

__all__ = ('ConfigurationCache',)
