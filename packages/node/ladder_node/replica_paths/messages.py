"""Questions between nodes about the replicas that they reach."""

import msgspec

from ladder_node.peer_calls import HttpPeerSender, PeerCaller, PeerSender

PATH_PATH = '/v1/replica-paths'
# The node that is asked may have to make two connections first.
_TIMEOUT_SECONDS = 0.6


class PathQuestion(msgspec.Struct, frozen=True, array_like=True):
    """
    A question for the replicas that a node reaches.

    Attributes
    ----------
    replicas : tuple of str
        Names of the replicas, the most important first.
    needs_proof : bool
        Whether only a new connection shows that a replica is reached. If not,
        bytes that it has just sent do, and one replica is enough.

    """

    replicas: tuple[str, ...]
    needs_proof: bool = False


class PathReply(msgspec.Struct, frozen=True, array_like=True):
    """
    Reply to such a question.

    Attributes
    ----------
    reached : tuple of str
        Names of replicas that the node reaches.
    refused : tuple of str
        Names of the replicas at whose address no process listens.

    """

    reached: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()


PathSender = PeerSender[PathQuestion, PathReply]


def make_path_sender(caller: PeerCaller) -> PathSender:
    """Return the sender of questions over HTTP."""
    return HttpPeerSender(caller, PATH_PATH, PathReply, _TIMEOUT_SECONDS)
