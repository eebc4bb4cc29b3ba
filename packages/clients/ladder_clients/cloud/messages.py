"""Messages of the calls to the cloud interface."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class DutyHolder:
    """
    The holder of a duty, as a call names it.

    Attributes
    ----------
    name : str
        Name of the node that holds the duty.
    token : int
        Fencing token of its lease, which grows when the holder changes.

    """

    name: str
    token: int


@dataclass(frozen=True, slots=True)
class ReplicaOrder:
    """
    An order that sets the number of replicas of a service.

    Attributes
    ----------
    service : str
        Name of the service.
    data_centre : str
        Data centre in which the number applies.
    count : int
        Number of replicas.
    is_spot : bool
        Whether the number is that of the spot replicas.

    """

    service: str
    data_centre: str
    count: int
    is_spot: bool = False


class CallOutcome(StrEnum):
    """
    What became of a call.

    Attributes
    ----------
    done
        The call took effect.
    refused
        The token is too low, or the order cannot be met at present.
    limited
        Too many calls were made; the call took no effect.
    unavailable
        The interface cannot be reached or reports a failure.
    unknown
        The call was sent and no response came. It may take effect seconds
        later, after newer calls.

    """

    done = 'done'
    refused = 'refused'
    limited = 'limited'
    unavailable = 'unavailable'
    unknown = 'unknown'
