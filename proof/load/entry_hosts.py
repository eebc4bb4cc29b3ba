"""Discovery of the entry hosts that a caller sends its requests to."""

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
    A node that accepts requests of callers.

    Attributes
    ----------
    name, address : str
        Name of the node, and host and port of its entry server.

    """

    name: str
    address: str


class _AddressesResponse(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/addresses``."""

    addresses: tuple[str, ...]
    keep_seconds: float


class EntryHostCache:
    """
    Cache of the entry hosts that the nodes tell a caller to use.

    Parameters
    ----------
    nodes : sequence of Node
        All entry hosts. They are asked in this order when the cache is
        empty or has expired.

    """

    def __init__(self, nodes: Sequence[Node]) -> None:
        self._nodes = {node.address: node for node in nodes}
        self._cached_addresses: tuple[str, ...] = ()
        self._expiry: float = 0
        self._index = 0

    async def find_current(self) -> Node:
        """Return the node to use now; refresh the cache if it has expired."""
        while time.monotonic() >= self._expiry:
            await self._refresh()
        return self._nodes[
            self._cached_addresses[self._index % len(self._cached_addresses)]
        ]

    def use_next(self) -> None:
        """Go on to the next address, after an attempt at this one failed."""
        self._index += 1

    async def _refresh(self) -> None:
        for address in self._nodes:
            # The lifetime of a response counts from before the request is sent,
            # because the node makes the response at some time after that.
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
        async with aiohttp.request('GET', url, timeout=timeout) as response:
            return msgspec.json.decode(
                await response.read(), type=_AddressesResponse
            )
    except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
        return _AddressesResponse((), 0)
