"""Compare the replicas that this node reaches with those of other nodes."""

import asyncio
from collections.abc import AsyncGenerator, Sequence
from contextlib import aclosing

from ladder_clients.exchanges import ConnectionPool, Reachability
from ladder_core.timers import TimerService
from ladder_node.replica_paths.messages import (
    PathQuestion,
    PathReply,
    PathSender,
)
from ladder_node.replica_paths.prober import PROBE_CONNECT_SECONDS
from ladder_node.replica_paths.relays import RelayDirectory
from ladder_node.replicas import ReplicaRecord, ReplicaRegistry
from ladder_policy.duties import order_successors
from ladder_policy.routing import RelayCandidate

_ASKED_NODES = 6
_ASKED_AT_ONCE = 2
_NEXT_NODE_SECONDS = 0.08
_MAX_REPLICAS = 4
# Replicas that are probed one after the other for another node. With one alone
# a crash would look as if this node had no path either.
_MAX_PROBES = 2
# Age of bytes on an open connection that still show that a replica is reached.
# It is shorter than it takes the node that asks to find out that it isn't.
_FRESH_SECONDS = 0.2


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
    timers : TimerService
        Clock of the age of received bytes.

    """

    def __init__(
        self,
        pool: ConnectionPool,
        registry: ReplicaRegistry,
        relays: RelayDirectory,
        sender: PathSender,
        timers: TimerService,
    ) -> None:
        self._pool = pool
        self._registry = registry
        self._relays = relays
        self._sender = sender
        self._timers = timers
        self._questions: set[asyncio.Task[tuple[RelayCandidate, PathReply]]] = (
            set()
        )
        self._probes: dict[str, asyncio.Task[Reachability]] = {}

    async def close(self) -> None:
        """Cancel the questions that are not answered yet."""
        tasks = (*self._questions, *self._probes.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def find_reached(
        self,
        service: str,
        replicas: tuple[str, ...],
        *,
        needs_proof: bool = False,
    ) -> set[str]:
        """
        Return those of some replicas that another node reaches.

        The first node that reaches any of them decides.
        """
        nodes = self._relays.list_relays(service)
        question = PathQuestion(replicas[:_MAX_REPLICAS], needs_proof)
        async with aclosing(
            self._ask_nodes(service, question, nodes)
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
        question = PathQuestion(replicas[:_MAX_REPLICAS])
        async with aclosing(
            self._ask_nodes(service, question, nodes)
        ) as replies:
            async for node, reply in replies:
                if reply.reached:
                    return node
        return None

    async def is_gone(self, service: str, replica: str) -> bool:
        """Return whether other nodes are refused by a replica."""
        refusals = 0
        nodes = self._relays.list_relays(service)
        question = PathQuestion((replica,), needs_proof=True)
        async with aclosing(
            self._ask_nodes(service, question, nodes)
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
        if not question.needs_proof:
            for known in records:
                if self._has_just_sent(known):
                    return PathReply((known.name,))
        refused = []
        for record in records[:_MAX_PROBES]:
            outcome = await self._probe(record.replica.address)
            if outcome is Reachability.reached:
                return PathReply((record.name,))
            if outcome is Reachability.refused:
                refused.append(record.name)
        return PathReply((), tuple(refused))

    def is_probing(self, address: str) -> bool:
        """Return whether a replica is probed for another node."""
        return address in self._probes

    async def _probe(self, address: str) -> Reachability:
        """Probe a replica; nodes that ask at the same time share the probe."""
        probe = self._probes.get(address)
        if probe is None:
            probe = asyncio.create_task(
                self._pool.probe(address, PROBE_CONNECT_SECONDS)
            )
            self._probes[address] = probe
            probe.add_done_callback(lambda _: self._probes.pop(address, None))
        return await asyncio.shield(probe)

    def _has_just_sent(self, record: ReplicaRecord) -> bool:
        """Return whether an open connection is new or has just got bytes."""
        oldest = self._timers.now() - _FRESH_SECONDS
        return any(
            connection.is_open and connection.received_at > oldest
            for connection in self._pool.list_connections(
                record.replica.address
            )
        )

    async def _ask_nodes(
        self,
        service: str,
        question: PathQuestion,
        nodes: Sequence[RelayCandidate],
    ) -> AsyncGenerator[tuple[RelayCandidate, PathReply], None]:
        """
        Ask one node after the other, and yield their replies as they come.

        The next ones are asked without waiting long for those before, since
        they may be cut, too.
        """
        waiting = list(nodes[:_ASKED_NODES])
        asked: set[asyncio.Task[tuple[RelayCandidate, PathReply]]] = set()
        while waiting or asked:
            for node in waiting[:_ASKED_AT_ONCE]:
                asked.add(self._begin_question(node, service, question))
            waiting = waiting[_ASKED_AT_ONCE:]
            replied, asked = await asyncio.wait(
                asked,
                timeout=_NEXT_NODE_SECONDS if waiting else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for reply in replied:
                yield reply.result()

    def _begin_question(
        self, node: RelayCandidate, service: str, question: PathQuestion
    ) -> asyncio.Task[tuple[RelayCandidate, PathReply]]:
        """Ask a node; a late reply still tells whether it may relay."""
        asked = asyncio.create_task(self._ask(node, service, question))
        self._questions.add(asked)
        asked.add_done_callback(self._questions.discard)
        return asked

    async def _ask(
        self, node: RelayCandidate, service: str, question: PathQuestion
    ) -> tuple[RelayCandidate, PathReply]:
        reply = await self._sender.send(node.address, question)
        if reply is not None and reply.reached:
            self._relays.record_success(node.name, service)
        elif reply is None or not reply.refused:
            # Where no process listens, the replica is the matter.
            self._relays.record_failure(node.name)
        return node, reply or PathReply()
