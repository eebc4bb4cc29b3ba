"""The operators' lists as this node has them in force."""

from ladder_node.configuration.keeper import ConfigurationKeeper

__all__ = ('ConfigurationKeeper',)
