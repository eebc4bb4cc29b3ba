"""Messages between nodes, in MessagePack."""

from typing import TypeAlias

import msgspec

from ladder_core.timeline import HybridTime
from ladder_core.values import Lists
from ladder_node.peers.facts import Fact, FactHeader


class Sender(msgspec.Struct, frozen=True, array_like=True):
    """
    Who sent a message, and when.

    Attributes
    ----------
    name : str
        Name of the node.
    data_centre : str
        Where it stands.
    stamp : HybridTime
        The sender's clock, observed by the receiver.

    """

    name: str
    data_centre: str
    stamp: HybridTime


class Push(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """
    A heartbeat, with the facts that the receiver may lack.

    Attributes
    ----------
    sender : Sender
        Who sent it.
    revision : int
        Configuration revision in force there; zero for none.
    digest : int
        Digest of the lasting facts there.
    facts : tuple of Fact
        News.
    is_answer : bool
        Whether it answers a summary.

    """

    sender: Sender
    revision: int
    digest: int
    facts: tuple[Fact, ...] = ()
    is_answer: bool = False


class Summary(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """
    What lasting facts the sender holds; answered with those it lacks.

    Attributes
    ----------
    sender : Sender
        Who sent it.
    held : tuple of FactHeader
        Its facts.
    is_answer : bool
        Whether it answers a summary and wants no other back.

    """

    sender: Sender
    held: tuple[FactHeader, ...]
    is_answer: bool = False


class ListsRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """
    Asks for the operators' lists.

    Attributes
    ----------
    sender : Sender
        Who sent it.

    """

    sender: Sender


class ListsResponse(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """
    The operators' lists in force at the sender.

    Attributes
    ----------
    sender : Sender
        Who sent it.
    lists : Lists
        The lists with their revision.

    """

    sender: Sender
    lists: Lists


Message: TypeAlias = Push | Summary | ListsRequest | ListsResponse

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
