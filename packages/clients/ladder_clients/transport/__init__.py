"""HTTP client and error translation of all clients."""

from ladder_clients.exchanges.errors import (
    SilentConnectionError,
    TransportBrokenError,
    TransportError,
    UnreachableError,
)
from ladder_clients.exchanges.messages import Timeouts
from ladder_clients.transport.client import (
    ORIGIN_HEADER,
    HttpClient,
    HttpResponse,
)
from ladder_clients.transport.translation import translate_target_errors

__all__ = (
    'ORIGIN_HEADER',
    'HttpResponse',
    'HttpClient',
    'SilentConnectionError',
    'Timeouts',
    'TransportBrokenError',
    'TransportError',
    'UnreachableError',
    'translate_target_errors',
)
