"""Messages between nodes, encoded as MessagePack."""

from typing import TypeAlias

import msgspec

from ladder_core.timeline import HybridTime
from ladder_core.values import Lists
from ladder_node.peers.facts import Fact, FactHeader


class Sender(msgspec.Struct, frozen=True, array_like=True):
    """
    The sender of a message, and the time of sending.

    Attributes
    ----------
    name : str
        Name of the sending node.
    data_centre : str
        Data centre of the sending node.
    stamp : HybridTime
        Time of the sender's clock, which the receiver's clock observes.

    """

    name: str
    data_centre: str
    stamp: HybridTime


class Push(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """
    A heartbeat, with facts that the receiver may be missing.

    Attributes
    ----------
    sender : Sender
        The sending node and its clock.
    revision : int
        Revision of the configuration that the sender confirms; zero if it
        confirms none.
    digest : int
        Digest of the lasting facts of the sender.
    facts : tuple of Fact
        New facts, or those that a summary shows to be missing.
    is_answer : bool
        Whether the message answers a summary.

    """

    sender: Sender
    revision: int
    digest: int
    facts: tuple[Fact, ...] = ()
    is_answer: bool = False


class Summary(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """
    Headers of the lasting facts of the sender, to find the missing ones.

    Attributes
    ----------
    sender : Sender
        The sending node and its clock.
    held : tuple of FactHeader
        One header for each lasting fact.
    is_answer : bool
        Whether the message answers a summary, so that none is sent back.

    """

    sender: Sender
    held: tuple[FactHeader, ...]
    is_answer: bool = False


class ListsRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """
    A request for the operators' lists.

    Attributes
    ----------
    sender : Sender
        The sending node and its clock.

    """

    sender: Sender


class ListsResponse(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """
    A response with the operators' lists in force at the sender.

    Attributes
    ----------
    sender : Sender
        The sending node and its clock.
    lists : Lists
        The lists, with their revision.

    """

    sender: Sender
    lists: Lists


Message: TypeAlias = Push | Summary | ListsRequest | ListsResponse

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
