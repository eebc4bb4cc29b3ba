"""Observation of the configuration revision that each node has in force."""

import asyncio
import time
from collections.abc import Sequence

import aiohttp
import msgspec

from proof.history import History, ObservedRevision
from proof.load.entry_hosts import Node

_POLL_INTERVAL_SECONDS = 0.5
_REQUEST_TIMEOUT_SECONDS = 1
_EVENT_KIND = 'configuration-in-force'


class _Event(msgspec.Struct, frozen=True):
    """Fields of a timeline event that are needed to read a revision."""

    kind: str
    fields: dict[str, str]


class RevisionObserver:
    """
    Poll the timelines of the nodes for configuration revisions.

    Parameters
    ----------
    nodes : sequence of Node
        Nodes to poll.
    history : History
        Receives the newest revision of each response.

    """

    def __init__(self, nodes: Sequence[Node], history: History) -> None:
        self._nodes = nodes
        self._history = history

    async def run(self) -> None:
        """Poll all nodes periodically until the task is cancelled."""
        while True:
            await asyncio.gather(*(self._read(node) for node in self._nodes))
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    async def _read(self, node: Node) -> None:
        url = f'http://{node.address}/v1/timeline'
        timeout = aiohttp.ClientTimeout(_REQUEST_TIMEOUT_SECONDS)
        begin = time.monotonic()
        try:
            async with aiohttp.request('GET', url, timeout=timeout) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return
        events = msgspec.json.decode(body, type=list[_Event])
        revisions = [
            int(event.fields['revision'])
            for event in events
            if event.kind == _EVENT_KIND
        ]
        if revisions:
            seen = ObservedRevision(node.name, begin, revisions[-1])
            self._history.observed_revisions.append(seen)
