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
    total : float or None
        Seconds for the whole exchange; None for streams.
    gap : float
        Seconds without a byte after which the connection counts as silent.
    connect : float
        Seconds for making a connection.

    """

    total: float | None = _GAP_SECONDS
    gap: float = _GAP_SECONDS
    connect: float = _CONNECT_SECONDS


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
