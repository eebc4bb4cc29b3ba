"""What is said to replicas, and what they answer."""

from dataclasses import dataclass
from enum import StrEnum

from ladder_clients.exchanges import Header


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """
    A caller's request as it is passed on.

    Attributes
    ----------
    request_id : str
        Identifies one try of the caller; echoed by the replica.
    method : bytes
        HTTP method.
    target : bytes
        Path and query as they arrived.
    headers : tuple of Header
        Header fields that are passed on.
    body : bytes
        The body.

    """

    request_id: str
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class TaskRequest:
    """
    A generation of a batch.

    Attributes
    ----------
    task_id : str
        Identifies the task; echoed by the replica.
    target : str
        Path of the request.
    headers : tuple of (str, str)
        Header fields of the task, with the host of its route.
    body : bytes
        The body.
    last_event : int
        Number of the last event that is already there; zero for none.

    """

    task_id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    last_event: int = 0


@dataclass(frozen=True, slots=True)
class TextEvent:
    """
    One event of a generation.

    Attributes
    ----------
    number : int
        Counts the events of the whole text, from one.
    text : str
        Its part of the text.
    version : int
        Weight version that produced it.

    """

    number: int
    text: str
    version: int


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """
    An order to load a version of a model's weights.

    Attributes
    ----------
    model : str
        The model.
    version : int
        The version.
    holder : str
        Node that holds the lease of the duty.
    fencing_token : int
        Epoch of that lease.
    orders_before : int
        Orders that the replica has accepted so far; it refuses the order if
        there were others meanwhile.
    ends_runs : bool
        Whether runs of the model end before the load; else they go on under
        the new version.

    """

    model: str
    version: int
    holder: str
    fencing_token: int
    orders_before: int
    ends_runs: bool = False


class OrderOutcome(StrEnum):
    """A replica's answer to an order."""

    accepted = 'accepted'
    already_done = 'already-done'
    busy = 'busy'
    fenced_off = 'fenced-off'
    invalid = 'invalid'
