"""Request rates that replicas limit for all nodes together."""

from ladder_node.rate_limits.known import KnownLimits

__all__ = ('KnownLimits',)
