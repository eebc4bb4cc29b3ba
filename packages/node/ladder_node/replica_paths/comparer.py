"""Compare the replicas that this node reaches with those of other nodes."""

import asyncio
from collections.abc import AsyncGenerator, Sequence
from contextlib import aclosing

from ladder_clients.exchanges import ConnectionPool, Reachability
from ladder_node.replica_paths.messages import (
    PathQuestion,
    PathReply,
    PathSender,
)
from ladder_node.replica_paths.relays import RelayDirectory
from ladder_node.replicas import ReplicaRegistry
from ladder_policy.duties import order_successors
from ladder_policy.routing import RelayCandidate

_CONNECT_SECONDS = 0.3
_ASKED_NODES = 6
_MAX_REPLICAS = 4


class PathComparer:
    """
    Ask other nodes which replicas they reach, and answer such questions.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to replicas.
    registry : ReplicaRegistry
        Replicas that this node knows; no others are tried.
    relays : RelayDirectory
        Nodes that are asked.
    sender : PathSender
        Sends the questions.

    """

    def __init__(
        self,
        pool: ConnectionPool,
        registry: ReplicaRegistry,
        relays: RelayDirectory,
        sender: PathSender,
    ) -> None:
        self._pool = pool
        self._registry = registry
        self._relays = relays
        self._sender = sender
        self._questions: set[asyncio.Task[tuple[RelayCandidate, PathReply]]] = (
            set()
        )

    async def close(self) -> None:
        """Cancel the questions that are not answered yet."""
        for question in tuple(self._questions):
            question.cancel()

    async def find_reached(
        self, service: str, replicas: tuple[str, ...]
    ) -> set[str]:
        """
        Return those of some replicas that another node reaches.

        The first node that reaches any of them decides.
        """
        nodes = self._relays.list_relays(service)
        async with aclosing(
            self._ask_nodes(service, replicas, nodes)
        ) as replies:
            async for _, reply in replies:
                if reply.reached:
                    return set(reply.reached)
        return set()

    async def find_node(self, service: str) -> RelayCandidate | None:
        """Return a large node that reaches a service, or None."""
        replicas = tuple(
            record.name for record in self._registry.list_service(service)
        )
        nodes = order_successors(self._relays.list_relays(service))
        async with aclosing(
            self._ask_nodes(service, replicas, nodes)
        ) as replies:
            async for node, reply in replies:
                if reply.reached:
                    return node
        return None

    async def is_gone(self, service: str, replica: str) -> bool:
        """Return whether other nodes are refused by a replica."""
        refusals = 0
        nodes = self._relays.list_relays(service)
        async with aclosing(
            self._ask_nodes(service, (replica,), nodes)
        ) as replies:
            async for _, reply in replies:
                if reply.reached:
                    return False
                refusals += len(reply.refused)
        return refusals > 0

    async def answer(self, question: PathQuestion) -> PathReply:
        """Return which replicas this node reaches, to another node."""
        records = [
            record
            for name in question.replicas[:_MAX_REPLICAS]
            if (record := self._registry.find(name)) is not None
        ]
        outcomes = await asyncio.gather(
            *(
                self._pool.probe(record.replica.address, _CONNECT_SECONDS)
                for record in records
            )
        )
        found: dict[Reachability, list[str]] = {}
        for record, outcome in zip(records, outcomes, strict=True):
            found.setdefault(outcome, []).append(record.name)
        return PathReply(
            tuple(found.get(Reachability.reached, ())),
            tuple(found.get(Reachability.refused, ())),
        )

    async def _ask_nodes(
        self,
        service: str,
        replicas: tuple[str, ...],
        nodes: Sequence[RelayCandidate],
    ) -> AsyncGenerator[tuple[RelayCandidate, PathReply], None]:
        """Ask the first nodes at once, and yield their replies as they come."""
        question = PathQuestion(replicas[:_MAX_REPLICAS])
        questions = [
            asyncio.ensure_future(self._ask(node, service, question))
            for node in nodes[:_ASKED_NODES]
        ]
        # Late replies still show which nodes may relay requests.
        self._questions.update(questions)
        for asked in questions:
            asked.add_done_callback(self._questions.discard)
        for reply in asyncio.as_completed(questions):
            yield await reply

    async def _ask(
        self, node: RelayCandidate, service: str, question: PathQuestion
    ) -> tuple[RelayCandidate, PathReply]:
        reply = await self._sender.send(node.address, question)
        if reply is None or not reply.reached:
            self._relays.record_failure(node.name)
        else:
            self._relays.record_success(node.name, service)
        return node, reply or PathReply()
