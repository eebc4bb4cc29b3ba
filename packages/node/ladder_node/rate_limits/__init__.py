"""Request rates that replicas limit for all nodes together."""

from ladder_node.rate_limits.issuer import (
    PermitApplication,
    PermitOutcome,
    PermitReply,
)
from ladder_node.rate_limits.known import KnownLimits
from ladder_node.rate_limits.limiter import SharedRateLimiter
from ladder_node.rate_limits.peers import (
    PERMIT_PATH,
    PermitSender,
    make_permit_sender,
)

__all__ = (
    'PERMIT_PATH',
    'make_permit_sender',
    'KnownLimits',
    'PermitApplication',
    'PermitOutcome',
    'PermitReply',
    'PermitSender',
    'SharedRateLimiter',
)
