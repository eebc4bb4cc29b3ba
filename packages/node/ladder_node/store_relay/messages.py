"""Messages between two nodes about a relayed store call."""

import msgspec


class RelayedCall(msgspec.Struct, frozen=True, array_like=True):
    """
    A call to the store that one node sends to another.

    Attributes
    ----------
    method, target : str
        HTTP method, and path with query, of the call to the store.
    body : bytes
        Body of the call.
    is_read : bool
        Whether the call only reads, so that it may be repeated.
    wait_seconds : float
        Seconds for which the store may delay its response (long poll).

    """

    method: str
    target: str
    body: bytes
    is_read: bool
    wait_seconds: float


class RelayedResponse(msgspec.Struct, frozen=True, array_like=True):
    """
    The outcome of a relayed call.

    Attributes
    ----------
    status : int
        HTTP status of the store's response; zero if there was none.
    body : bytes
        Body of the store's response.
    is_undone : bool
        Whether a call without a response certainly had no effect.

    """

    status: int
    body: bytes = b''
    is_undone: bool = False
