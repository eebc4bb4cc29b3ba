"""What goes over a connection."""

from collections.abc import Iterable
from dataclasses import dataclass

_GAP_SECONDS = 5
_CONNECT_SECONDS = 2

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Timeouts:
    """
    Limits of one exchange.

    Attributes
    ----------
    total_seconds : float or None
        Seconds for the whole exchange; None for streams.
    read_seconds : float
        Seconds without a byte after which the connection counts as silent.
    connect_seconds : float
        Seconds for making a connection.

    """

    total_seconds: float | None = _GAP_SECONDS
    read_seconds: float = _GAP_SECONDS
    connect_seconds: float = _CONNECT_SECONDS


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """
    A request as it goes on the wire.

    Attributes
    ----------
    method : bytes
        HTTP method.
    target : bytes
        Path and query, already encoded; sent as it is.
    headers : tuple of Header
        Header fields without those that frame the body.
    body : bytes
        The whole body.

    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...] = ()
    body: bytes = b''


def find_header(headers: Iterable[Header], name: bytes) -> str | None:
    """
    Return the first header field of a name, or None.

    Parameters
    ----------
    headers : iterable of Header
        Header fields.
    name : bytes
        The name in lower case.

    Examples
    --------
    >>> find_header([(b'Retry-After', b'2')], b'retry-after')
    '2'

    """
    for field, text in headers:
        if field.lower() == name:
            return text.decode('latin-1')
    return None
