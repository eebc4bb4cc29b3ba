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
from ladder_clients.exchanges.recovery import (
    RecoveryProbe,
    find_probe_pause,
)
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
    'OutgoingRequest',
    'PendingExchanges',
    'PersistentConnection',
    'PoolLimits',
    'Reachability',
    'RecoveryProbe',
    'ResponseTooLargeError',
    'SilentConnectionError',
    'StreamedResponse',
    'Timeouts',
    'TransportBrokenError',
    'TransportError',
    'UnreachableError',
    'find_header',
    'find_probe_pause',
)
