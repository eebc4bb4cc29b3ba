"""Requests to replicas and parts of their responses."""

from dataclasses import dataclass, field
from enum import StrEnum

from ladder_clients.exchanges import Header, HoldResponse


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """
    A caller's request as it is forwarded.

    Attributes
    ----------
    request_id : str
        Identifies one attempt of the caller; the replica echoes it.
    method : bytes
        HTTP method.
    target : bytes
        Path and query as they were received.
    headers : tuple of Header
        Header fields that are forwarded.
    body : bytes
        The whole body; empty for none.
    caller : str
        Identifies the caller, for example by its address; empty if unknown.
    priority : int
        Priority among requests for a scarce replica; zero is the highest.
    last_event : int
        Number of the last event of a stream that the caller has, after which
        the stream goes on; zero for none.
    first_attempt : str
        Identifies the attempt of the caller that brought the first event of
        the stream; empty if the request names none.
    organisation : str
        Name of the organisation that sent it; empty for none.
    uses_gateway : bool
        Whether it may be sent through another host, which has connections to
        the replica, if it may also be sent twice.
    hold_response : callable or None
        Awaited with the size of a whole response before it is read.

    """

    request_id: str
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    caller: str = ''
    priority: int = 0
    last_event: int = 0
    first_attempt: str = ''
    organisation: str = ''
    uses_gateway: bool = False
    hold_response: HoldResponse | None = field(
        default=None, compare=False, repr=False
    )


@dataclass(frozen=True, slots=True)
class TaskRequest:
    """
    A request for the generation of a task of a batch.

    Attributes
    ----------
    task_id : str
        Identifies the task; the replica echoes it.
    target : str
        Path of the request.
    headers : tuple of (str, str)
        Header fields of the task, including the host of its route.
    body : bytes
        Body of the request.
    last_event : int
        Number of the last event that the caller has, from which the run is
        resumed; zero for none.
    priority : int
        Priority among requests for a scarce replica; zero is the highest.
    organisation : str
        Name of the organisation whose batch it is in; empty for none.

    """

    task_id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    last_event: int = 0
    priority: int = 0
    organisation: str = ''


@dataclass(frozen=True, slots=True)
class TextEvent:
    """
    One event of a generation, with the next part of the text.

    Attributes
    ----------
    number : int
        Number of the event within the whole text, from one.
    text : str
        Part of the text.
    version : int
        Weight version that produced this part.

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
        Name of the model.
    version : int
        Version to load.
    holder : str
        Node that holds the lease of the duty which gives the order.
    fencing_token : int
        Epoch of that lease.
    orders_before : int
        Number of orders that the replica has accepted according to the sender;
        the replica refuses the order if it has accepted others since then.
    ends_runs : bool
        Whether the replica ends the runs of the model before the load;
        otherwise they continue with the new version.

    """

    model: str
    version: int
    holder: str
    fencing_token: int
    orders_before: int
    ends_runs: bool = False


# Orders and questions about the state go before all work that needs them.
CONTROL_PRIORITY = -1


class CallKind(StrEnum):
    """Kind of a call to a replica."""

    request = 'request'
    task = 'task'
    order = 'order'
    report = 'report'


class OrderOutcome(StrEnum):
    """Response of a replica to an order."""

    accepted = 'accepted'
    already_done = 'already-done'
    busy = 'busy'
    fenced_off = 'fenced-off'
    invalid = 'invalid'
