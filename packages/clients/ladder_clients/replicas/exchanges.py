"""Exchanges with replicas, by whichever path reaches them."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass

from ladder_clients.exchanges import (
    ConnectionPool,
    OutgoingRequest,
    StreamedResponse,
    Timeouts,
)
from ladder_core.values import Replica


def _ignore() -> None:
    """Allow the request to be written."""


@dataclass(frozen=True, slots=True)
class ExchangeTerms:
    """
    Terms of an exchange with a replica.

    Attributes
    ----------
    request_id : str
        Identifies the request in logs, and in the response if that echoes it;
        empty if it has none.
    runs_once : bool
        Whether the request may run only once, so that it needs a connection on
        which no other request was sent.
    is_direct : bool
        Whether the request must come from this host itself.
    uses_gateway : bool
        Whether a request that may be sent twice may go through another host,
        which has connections to the replica.
    before_send : callable
        Called right before the request is written; an error that it raises
        ends the exchange.

    """

    request_id: str = ''
    runs_once: bool = False
    is_direct: bool = False
    uses_gateway: bool = False
    before_send: Callable[[], None] = _ignore


class ReplicaExchanges(ABC):
    """Sends requests to replicas."""

    @abstractmethod
    def exchange(
        self,
        replica: Replica,
        request: OutgoingRequest,
        timeouts: Timeouts,
        terms: ExchangeTerms,
    ) -> AbstractAsyncContextManager[StreamedResponse]:
        """
        Send a request and yield the response once its head has arrived.

        Raises
        ------
        OverloadedError, UnreachableError
            Nothing was sent to the replica.
        TransportError
            The exchange failed; the request may have been executed.

        """

    @abstractmethod
    def count_idle(self, replica: Replica) -> int:
        """Return the number of idle connections to a replica."""

    @abstractmethod
    def close_idle(self, replica: Replica) -> None:
        """Close the idle connections to a replica."""


class DirectExchanges(ReplicaExchanges):
    """
    Send requests over the connections of this host.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to replicas.

    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    @asynccontextmanager
    async def exchange(
        self,
        replica: Replica,
        request: OutgoingRequest,
        timeouts: Timeouts,
        terms: ExchangeTerms,
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request and yield the open response."""
        async with self._pool.exchange(
            replica.address,
            request,
            timeouts,
            needs_new_connection=terms.runs_once,
            before_send=terms.before_send,
        ) as response:
            yield response

    def count_idle(self, replica: Replica) -> int:
        """Return the number of idle connections to a replica."""
        return self._pool.count_idle(replica.address)

    def close_idle(self, replica: Replica) -> None:
        """Close the idle connections to a replica."""
        self._pool.close_address(replica.address)
