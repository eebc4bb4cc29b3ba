"""Exchanges with replicas, direct or through another node."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

from loguru import logger

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
from ladder_core.errors import OverloadedError
from ladder_core.timers import TimerService
from ladder_core.values import Replica
from ladder_node.replica_paths import RelaySource, ReplicaPaths
from ladder_node.replica_relay.client import (
    RelayLostError,
    ReplicaRelay,
    call_once,
)

# A larger body costs more on its way through another host than a connection.
_MAX_GATEWAY_BODY_BYTES = 65_536
# The request names the time that its caller still waits. Later than this, that
# time has to be named anew, so the request is not sent again as it is.
_MAX_RESEND_SECONDS = 0.3


class Gateways:
    """
    Send requests over the connections of the gateways of this data centre.

    Parameters
    ----------
    source : RelaySource
        Lists the gateways of this node.
    relay : ReplicaRelay
        Hands requests to them.
    timers : TimerService
        Clock by which a gateway has failed early or late.

    """

    def __init__(
        self, source: RelaySource, relay: ReplicaRelay, timers: TimerService
    ) -> None:
        self._source = source
        self._relay = relay
        self._timers = timers

    async def open(
        self,
        stack: AsyncExitStack,
        replica: Replica,
        request: OutgoingRequest,
        timeouts: Timeouts,
        terms: ExchangeTerms,
    ) -> StreamedResponse | None:
        """
        Return the open response; None if the request is to be sent directly.

        Raises
        ------
        RelayLostError
            The gateway broke off late; the request may have been executed.
        TransportError
            The exchange of the gateway failed; likewise.

        """
        if not self._may_take(replica, request, terms):
            return None
        started_at = self._timers.now()
        try:
            return await stack.enter_async_context(
                self._relay.exchange(replica, request, timeouts, terms)
            )
        except (UnreachableError, OverloadedError) as error:
            logger.debug('gateway not used: {}', error.message)
        except RelayLostError as error:
            # Its connection to the replica has ended, too.
            if self._timers.now() - started_at > _MAX_RESEND_SECONDS:
                raise
            logger.debug('gateway lost: {}', error.message)
        return None

    def _may_take(
        self, replica: Replica, request: OutgoingRequest, terms: ExchangeTerms
    ) -> bool:
        return (
            terms.uses_gateway
            and not (terms.is_direct or terms.runs_once)
            and len(request.body) <= _MAX_GATEWAY_BODY_BYTES
            and bool(self._source.list_relays(replica.service))
        )


class RoutedExchanges(ReplicaExchanges):
    """
    Send requests directly, or through another node.

    Explanation
    -----------
    While the path to a service is lost, another node that reaches it takes the
    requests. A request that may be sent twice also goes through another node
    if this one has no connection and a gateway does; if the gateway fails, the
    request is sent directly.

    Parameters
    ----------
    pool : ConnectionPool
        Connections of this host to replicas.
    relay : ReplicaRelay
        Hands requests to other nodes.
    paths : ReplicaPaths
        Services that this host does not reach.
    gateways : Gateways or None, optional
        Nodes whose connections this host shares; None for no sharing.

    """

    def __init__(
        self,
        pool: ConnectionPool,
        relay: ReplicaRelay,
        paths: ReplicaPaths,
        gateways: Gateways | None = None,
    ) -> None:
        self._direct = DirectExchanges(pool)
        self._relay = relay
        self._paths = paths
        self._gateways = gateways

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
            if not self._is_sent_directly(replica, terms):
                response = await stack.enter_async_context(
                    self._relay.exchange(
                        replica,
                        request,
                        timeouts,
                        replace(terms, uses_gateway=False),
                    )
                )
            elif self.count_idle(replica):
                response = await self._open_directly(stack, *exchange)
            else:
                response = await self._open_by_gateway(stack, *exchange)
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

    async def _open_by_gateway(
        self,
        stack: AsyncExitStack,
        replica: Replica,
        request: OutgoingRequest,
        timeouts: Timeouts,
        terms: ExchangeTerms,
    ) -> StreamedResponse:
        """Open an exchange by a gateway, or directly if none takes it."""
        terms = replace(terms, before_send=call_once(terms.before_send))
        exchange = (stack, replica, request, timeouts, terms)
        response = None
        if self._gateways is not None:
            response = await self._gateways.open(*exchange)
        return response or await self._open_directly(*exchange)

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
        return await stack.enter_async_context(
            self._relay.exchange(
                replica, request, timeouts, replace(terms, uses_gateway=False)
            )
        )
