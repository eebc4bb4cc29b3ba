"""The entry hosts that a caller uses, asked for as callers are meant to."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp
import msgspec

_REQUEST_TIMEOUT_SECONDS = 2
_RETRY_DELAY_SECONDS = 0.1


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


class _AddressesResponse(msgspec.Struct, frozen=True):
    """An answer of ``/v1/addresses``."""

    addresses: tuple[str, ...]
    keep_seconds: float


class EntryHostCache:
    """
    Ask entry hosts which of them to use, and keep the answer for its time.

    Parameters
    ----------
    nodes : sequence of Node
        All entry hosts, to ask when no answer is kept.

    """

    def __init__(self, nodes: Sequence[Node]) -> None:
        self._nodes = {node.address: node for node in nodes}
        self._cached_addresses: tuple[str, ...] = ()
        self._expiry: float = 0
        self._index = 0

    async def find_current(self) -> Node:
        """Return the node to use now."""
        while time.monotonic() >= self._expiry:
            await self._refresh()
        return self._nodes[
            self._cached_addresses[self._index % len(self._cached_addresses)]
        ]

    def use_next(self) -> None:
        """Use the next address from now on, since the last one failed."""
        self._index += 1

    async def _refresh(self) -> None:
        for address in self._nodes:
            # The answer's time begins before the node makes it.
            begin = time.monotonic()
            response = await _fetch_addresses(address)
            known_addresses = [
                known_address
                for known_address in response.addresses
                if known_address in self._nodes
            ]
            if known_addresses:
                self._cached_addresses = tuple(known_addresses)
                self._expiry = begin + response.keep_seconds
                return
        await asyncio.sleep(_RETRY_DELAY_SECONDS)


async def _fetch_addresses(address: str) -> _AddressesResponse:
    url = f'http://{address}/v1/addresses'
    timeout = aiohttp.ClientTimeout(_REQUEST_TIMEOUT_SECONDS)
    try:
        async with aiohttp.request('GET', url, timeout=timeout) as reply:
            return msgspec.json.decode(
                await reply.read(), type=_AddressesResponse
            )
    except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
        return _AddressesResponse((), 0)
