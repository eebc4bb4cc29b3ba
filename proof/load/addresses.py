"""The entry hosts that a caller uses, asked for as callers are meant to."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp
import msgspec

_CALL_SECONDS = 2
_PAUSE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Node:
    """
    A node that callers may use.

    Attributes
    ----------
    name, address : str
        Its name and its entry address.

    """

    name: str
    address: str


class _Answer(msgspec.Struct, frozen=True):
    """An answer of ``/v1/addresses``."""

    addresses: tuple[str, ...]
    keep_seconds: float


class AddressBook:
    """
    Ask entry hosts which of them to use, and keep the answer for its time.

    Parameters
    ----------
    nodes : sequence of Node
        All entry hosts, to ask when no answer is kept.

    """

    def __init__(self, nodes: Sequence[Node]) -> None:
        self._nodes = {node.address: node for node in nodes}
        self._kept: tuple[str, ...] = ()
        self._expiry: float = 0
        self._turn = 0

    async def pick(self) -> Node:
        """Return the node to use now."""
        while time.monotonic() >= self._expiry:
            await self._refresh()
        return self._nodes[self._kept[self._turn % len(self._kept)]]

    def skip(self) -> None:
        """Use the next address from now on, since the last one failed."""
        self._turn += 1

    async def _refresh(self) -> None:
        for address in self._nodes:
            # The answer's time begins before the node makes it.
            begin = time.monotonic()
            answer = await _ask(address)
            known = [one for one in answer.addresses if one in self._nodes]
            if known:
                self._kept = tuple(known)
                self._expiry = begin + answer.keep_seconds
                return
        await asyncio.sleep(_PAUSE_SECONDS)


async def _ask(address: str) -> _Answer:
    url = f'http://{address}/v1/addresses'
    timeout = aiohttp.ClientTimeout(_CALL_SECONDS)
    try:
        async with aiohttp.request('GET', url, timeout=timeout) as reply:
            return msgspec.json.decode(await reply.read(), type=_Answer)
    except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
        return _Answer((), 0)
