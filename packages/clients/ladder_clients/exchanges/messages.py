"""Outgoing requests, their time-outs and header fields."""

from collections.abc import Iterable
from dataclasses import dataclass

_RESPONSE_TIMEOUT_SECONDS = 5
_CONNECT_TIMEOUT_SECONDS = 2
# The time-out of a whole body as a multiple of that up to the head.
_BODY_TIMEOUT_FACTOR = 4

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Timeouts:
    """
    Time-outs of one exchange, in seconds.

    Attributes
    ----------
    total_seconds : float or None
        Longest duration of the exchange; None for streams. What it covers
        depends on the caller: the whole exchange, or up to the response head.
    read_seconds : float
        Longest time without a received byte; also the longest time up to the
        head if there is no total.
    connect_seconds : float
        Longest time for making a connection.

    """

    total_seconds: float | None = _RESPONSE_TIMEOUT_SECONDS
    read_seconds: float = _RESPONSE_TIMEOUT_SECONDS
    connect_seconds: float = _CONNECT_TIMEOUT_SECONDS

    @property
    def head_seconds(self) -> float:
        """Longest time up to the head of the response, in seconds."""
        if self.total_seconds is None:
            return self.read_seconds
        return self.total_seconds

    @property
    def body_seconds(self) -> float | None:
        """Longest time for a body that is read as a whole; None for streams."""
        if self.total_seconds is None:
            return None
        return _BODY_TIMEOUT_FACTOR * self.total_seconds


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """
    A request as it is sent.

    Attributes
    ----------
    method : bytes
        HTTP method.
    target : bytes
        Path and query, already percent-encoded; sent unchanged.
    headers : tuple of Header
        Header fields except ``Content-Length``, which the connection adds.
    body : bytes
        The whole body; empty for none.

    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...] = ()
    body: bytes = b''


def find_header(headers: Iterable[Header], name: bytes) -> str | None:
    """
    Return the value of the first header field with a name, or None.

    Parameters
    ----------
    headers : iterable of Header
        Header fields to search; their names may be in any case.
    name : bytes
        Name of the field, in lower case.

    Examples
    --------
    >>> find_header([(b'Retry-After', b'2')], b'retry-after')
    '2'

    """
    for field, text in headers:
        if field.lower() == name:
            return text.decode('latin-1')
    return None
