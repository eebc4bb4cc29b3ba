"""Questions between nodes about the durations of replicas."""

from typing import Annotated

import msgspec

from ladder_node.peer_calls import HttpPeerSender, PeerCaller, PeerSender

CAPACITY_PATH = '/v1/capacities'
# Largest number of replicas in a question, and of estimates in a reply: with
# the headers, a question and its reply have less than 1,500 bytes.
MAX_REPLICAS = 8
MAX_ESTIMATES = 16
_MAX_SECONDS = 600
_MAX_KIND_LENGTH = 64


class CapacityQuestion(msgspec.Struct, frozen=True, array_like=True):
    """
    A question for the durations of replicas.

    Attributes
    ----------
    replicas : tuple of str
        Names of the replicas.

    """

    replicas: tuple[str, ...]


class SharedEstimate(msgspec.Struct, frozen=True, array_like=True):
    """
    The expected duration that a node has measured itself.

    Attributes
    ----------
    replica : int
        Place of the replica in the question.
    kind : str
        Kind of request.
    seconds : float
        Expected duration of a response.
    age : float
        Time in seconds since the latest measurement.

    """

    replica: Annotated[int, msgspec.Meta(ge=0)]
    kind: Annotated[str, msgspec.Meta(max_length=_MAX_KIND_LENGTH)]
    seconds: Annotated[float, msgspec.Meta(gt=0, le=_MAX_SECONDS)]
    age: Annotated[float, msgspec.Meta(ge=0, le=_MAX_SECONDS)]


class CapacityReply(msgspec.Struct, frozen=True, array_like=True):
    """
    Reply to such a question.

    Attributes
    ----------
    estimates : tuple of SharedEstimate
        Estimates of the replicas that the node has used lately.

    """

    estimates: tuple[SharedEstimate, ...] = ()


CapacitySender = PeerSender[CapacityQuestion, CapacityReply]


def make_capacity_sender(caller: PeerCaller) -> CapacitySender:
    """Return the sender of questions over HTTP."""
    return HttpPeerSender(caller, CAPACITY_PATH, CapacityReply)
