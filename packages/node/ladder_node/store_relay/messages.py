"""What two nodes say to each other about a carried call."""

import msgspec


class RelayedCall(msgspec.Struct, frozen=True, array_like=True):
    """
    A call to the store as one node hands it to another.

    Attributes
    ----------
    method, target : str
        HTTP method, and path with query.
    body : bytes
        The body.
    is_read : bool
        Whether the call changes nothing.
    wait_seconds : float
        Time for which the store may hold the call.

    """

    method: str
    target: str
    body: bytes
    is_read: bool
    wait_seconds: float


class RelayedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """
    What became of a carried call.

    Attributes
    ----------
    status : int
        The store's status; zero if it gave no answer.
    body : bytes
        The store's answer.
    is_undone : bool
        Whether it is certain that the call had no effect.

    """

    status: int
    body: bytes = b''
    is_undone: bool = False
