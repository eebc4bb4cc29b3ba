"""HTTP exchanges over kept connections."""

from ladder_clients.exchanges.errors import (
    SilentConnectionError,
    TransportBrokenError,
    TransportError,
    UnreachableError,
)
from ladder_clients.exchanges.messages import (
    Header,
    OutgoingRequest,
    Timeouts,
    find_header,
)
from ladder_clients.exchanges.opened import OpenAnswer
from ladder_clients.exchanges.pool import ConnectionPool, PoolLimits

__all__ = (
    'ConnectionPool',
    'Header',
    'OpenAnswer',
    'OutgoingRequest',
    'PoolLimits',
    'SilentConnectionError',
    'Timeouts',
    'TransportBrokenError',
    'TransportError',
    'UnreachableError',
    'find_header',
)
