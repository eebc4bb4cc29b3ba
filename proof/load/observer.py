"""Watch which configuration revision each node shows."""

import asyncio
import time
from collections.abc import Sequence

import aiohttp
import msgspec

from proof.history import History, RevisionSeen
from proof.load.addresses import Node

_PERIOD_SECONDS = 0.5
_CALL_SECONDS = 1
_KIND = 'configuration-in-force'


class _Event(msgspec.Struct, frozen=True):
    """The part of an event that tells a revision."""

    kind: str
    fields: dict[str, str]


class RevisionObserver:
    """
    Read the nodes' time lines until cancelled.

    Parameters
    ----------
    nodes : sequence of Node
        The nodes.
    history : History
        Takes the revisions seen.

    """

    def __init__(self, nodes: Sequence[Node], history: History) -> None:
        self._nodes = nodes
        self._history = history

    async def run(self) -> None:
        """Read every node periodically."""
        while True:
            await asyncio.gather(*(self._read(node) for node in self._nodes))
            await asyncio.sleep(_PERIOD_SECONDS)

    async def _read(self, node: Node) -> None:
        url = f'http://{node.address}/v1/timeline'
        timeout = aiohttp.ClientTimeout(_CALL_SECONDS)
        begin = time.monotonic()
        try:
            async with aiohttp.request('GET', url, timeout=timeout) as reply:
                body = await reply.read()
        except (aiohttp.ClientError, TimeoutError):
            return
        events = msgspec.json.decode(body, type=list[_Event])
        revisions = [
            int(event.fields['revision'])
            for event in events
            if event.kind == _KIND
        ]
        if revisions:
            seen = RevisionSeen(node.name, begin, revisions[-1])
            self._history.revisions.append(seen)
