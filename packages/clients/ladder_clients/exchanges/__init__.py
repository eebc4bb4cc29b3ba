"""HTTP exchanges over persistent connections."""

from ladder_clients.exchanges.connection import PersistentConnection
from ladder_clients.exchanges.errors import (
    AbandonedError,
    BrokenPathError,
    ResponseTooLargeError,
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
from ladder_clients.exchanges.observer import (
    ConnectionObserver,
    Reachability,
)
from ladder_clients.exchanges.pending import PendingExchanges
from ladder_clients.exchanges.pool import ConnectionPool, PoolLimits
from ladder_clients.exchanges.responses import (
    BodySource,
    HoldResponse,
    StreamedResponse,
)

__all__ = (
    'AbandonedError',
    'BodySource',
    'BrokenPathError',
    'ConnectionObserver',
    'ConnectionPool',
    'Header',
    'HoldResponse',
    'StreamedResponse',
    'OutgoingRequest',
    'PendingExchanges',
    'PersistentConnection',
    'PoolLimits',
    'Reachability',
    'ResponseTooLargeError',
    'SilentConnectionError',
    'Timeouts',
    'TransportBrokenError',
    'TransportError',
    'UnreachableError',
    'find_header',
)
