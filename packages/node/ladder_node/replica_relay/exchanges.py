"""Exchanges with replicas, direct or through another node."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from ladder_clients.exchanges import (
    ConnectionPool,
    OutgoingRequest,
    StreamedResponse,
    Timeouts,
    UnreachableError,
)
from ladder_clients.replicas import (
    DirectExchanges,
    ExchangeTerms,
    ReplicaExchanges,
)
from ladder_core.values import Replica
from ladder_node.replica_paths import ReplicaPaths
from ladder_node.replica_relay.client import ReplicaRelay


class RoutedExchanges(ReplicaExchanges):
    """
    Send requests directly, or through another node while the path is lost.

    Parameters
    ----------
    pool : ConnectionPool
        Connections of this host to replicas.
    relay : ReplicaRelay
        Hands requests to other nodes.
    paths : ReplicaPaths
        Services that this host does not reach.

    """

    def __init__(
        self, pool: ConnectionPool, relay: ReplicaRelay, paths: ReplicaPaths
    ) -> None:
        self._direct = DirectExchanges(pool)
        self._relay = relay
        self._paths = paths

    @asynccontextmanager
    async def exchange(
        self,
        replica: Replica,
        request: OutgoingRequest,
        timeouts: Timeouts,
        terms: ExchangeTerms,
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request and yield the open response."""
        exchange = (replica, request, timeouts, terms)
        async with AsyncExitStack() as stack:
            if self._is_sent_directly(replica, terms):
                response = await self._open_directly(stack, *exchange)
            else:
                response = await stack.enter_async_context(
                    self._relay.exchange(*exchange)
                )
            yield response

    def count_idle(self, replica: Replica) -> int:
        """Return the number of idle connections to a replica."""
        return self._direct.count_idle(replica)

    def close_idle(self, replica: Replica) -> None:
        """Close the idle connections to a replica."""
        self._direct.close_idle(replica)

    def _is_sent_directly(self, replica: Replica, terms: ExchangeTerms) -> bool:
        """Return whether a request goes directly; kept connections may live."""
        if terms.is_direct or not self._paths.is_lost(replica.service):
            return True
        return not terms.runs_once and self.count_idle(replica) > 0

    async def _open_directly(
        self,
        stack: AsyncExitStack,
        replica: Replica,
        request: OutgoingRequest,
        timeouts: Timeouts,
        terms: ExchangeTerms,
    ) -> StreamedResponse:
        """Open an exchange, by another node if the path proves to be lost."""
        exchange = (replica, request, timeouts, terms)
        try:
            return await stack.enter_async_context(
                self._direct.exchange(*exchange)
            )
        except UnreachableError:
            is_lost = await self._paths.settle(replica.service)
            if terms.is_direct or not is_lost:
                raise
        return await stack.enter_async_context(self._relay.exchange(*exchange))
