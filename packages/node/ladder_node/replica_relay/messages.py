"""Messages between two nodes about a relayed exchange with a replica."""

from enum import StrEnum, auto

import msgspec

from ladder_clients.exchanges import Header

REPLICA_RELAY_PATH = '/v1/replica-relay'
HEAD_LENGTH_BYTES = 4


class RelayOutcome(StrEnum):
    """
    What came of a relayed exchange up to the head of the response.

    Attributes
    ----------
    answered
        The replica has responded; the body follows.
    not_sent
        Nothing was sent, since no connection to the replica could be made.
    unable
        Nothing was sent, whatever the state of the replica.
    silent
        The replica did not respond in time; it may have run the request.
    broken
        The exchange failed; the replica may have run the request.

    """

    answered = auto()
    not_sent = auto()
    unable = auto()
    silent = auto()
    broken = auto()


class RelayedExchange(msgspec.Struct, frozen=True, array_like=True):
    """
    A request to a replica that one node sends to another.

    Attributes
    ----------
    replica : str
        Name of the replica.
    started_at : int
        Start of its process, as it is listed.
    request_id : str
        Identifies the request; empty if it has no id.
    runs_once : bool
        Whether the request may run only once.
    timeouts : tuple of (float or None, float)
        Longest duration up to the head, None for streams, and longest time
        without a received byte, in seconds.
    method, target, body : bytes
        The request, without its header.
    headers : tuple of Header
        Header fields of the request.
    shares_connections : bool
        Whether the sender itself reaches the replica, and only shares the
        connections of the other node.

    """

    replica: str
    started_at: int
    request_id: str
    runs_once: bool
    timeouts: tuple[float | None, float]
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    shares_connections: bool = False


class RelayedHead(msgspec.Struct, frozen=True, array_like=True):
    """
    What precedes the body of a relayed response.

    Attributes
    ----------
    outcome : RelayOutcome
        What came of the exchange.
    reason : str
        Why it failed; empty if it did not.
    status : int
        HTTP status of the replica's response; zero if there was none.
    headers : tuple of Header
        Header fields of the replica's response.

    """

    outcome: RelayOutcome
    reason: str = ''
    status: int = 0
    headers: tuple[Header, ...] = ()


def encode_head(head: RelayedHead) -> bytes:
    """Return the bytes of a head, preceded by their number."""
    encoded = msgspec.msgpack.encode(head)
    return len(encoded).to_bytes(HEAD_LENGTH_BYTES, 'big') + encoded
