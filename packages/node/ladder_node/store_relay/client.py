"""Send store calls through another node that can reach the store."""

from collections.abc import Callable, Sequence

import msgspec
from prometheus_client import Counter

from ladder_clients.exchanges import (
    ConnectionPool,
    OutgoingRequest,
    Timeouts,
    TransportError,
    UnreachableError,
)
from ladder_core.errors import NotRunError, OverloadedError
from ladder_core.messages import decode_msgpack
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.store_relay.messages import RelayedCall, RelayedResponse
from ladder_policy.routing import RelaySwitch

RELAY_PATH = '/v1/detour'
_OK_STATUS = 200
_CALL_TIMEOUT_SECONDS = 1.2
_CONNECT_TIMEOUT_SECONDS = 0.3
_MAX_PEERS = 2
# Time for which no call is relayed after no peer could relay one.
_BACKOFF_SECONDS = 1
# Time for which a peer's report counts that it does not reach the store
# either. During an outage a call asks the peers again about once a second, so
# this covers several such reports.
_SHARED_OUTAGE_SECONDS = 3

_relayed_counter = Counter(
    'ladder_store_detours_total',
    'Calls to the store that were handed to another node, by outcome',
    ('outcome',),
)


class StoreRelayError(NotRunError):
    """No other node could relay the call, which had no effect."""

    kind = 'detour'


class StoreRelay:
    """
    The path to the store through other nodes.

    Explanation
    -----------
    While direct calls to the store fail, calls are relayed through a peer,
    apart from probes of the direct path.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the peers.
    list_peers : callable
        Returns the ``ip:port`` of the other nodes in order of preference.
    timers : TimerService
        Clock for the back-off and for the age of reports.
    timeline : Timeline
        Records when the direct path to the store is lost and regained.

    """

    def __init__(
        self,
        pool: ConnectionPool,
        list_peers: Callable[[], Sequence[str]],
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._pool = pool
        self._list_peers = list_peers
        self._timers = timers
        self._timeline = timeline
        self._switch = RelaySwitch()
        self._backs_off_until: float = 0
        self._failed_at: dict[str, float] = {}
        self._outage_shared_at: float | None = None

    @property
    def is_relaying(self) -> bool:
        """Whether calls are relayed, because the direct path fails."""
        return self._switch.is_relaying

    def is_outage_shared(self) -> bool:
        """Return whether a peer recently reported the same outage."""
        if self._outage_shared_at is None or not self._switch.is_relaying:
            return False
        return (
            self._timers.now() - self._outage_shared_at < _SHARED_OUTAGE_SECONDS
        )

    def is_needed(self) -> bool:
        """Return whether the next call should go through a peer."""
        now = self._timers.now()
        return (
            now >= self._backs_off_until
            and not self._switch.should_call_directly(now)
        )

    def record_success(self) -> None:
        """Record that a direct call was answered."""
        if self._switch.is_relaying:
            self._timeline.record('dependency-regained', 'store')
        self._switch.record_success()

    def record_failure(self, is_unanswered: bool, reason: str) -> None:
        """
        Record that a direct call failed.

        Parameters
        ----------
        is_unanswered : bool
            Whether there was no response, rather than a refusal; one such
            failure alone starts relaying.
        reason : str
            Cause of the failure for the timeline.

        """
        was_relaying = self._switch.is_relaying
        self._switch.record_failure(self._timers.now(), is_unanswered)
        if self._switch.is_relaying and not was_relaying:
            self._timeline.record('dependency-lost', 'store', reason=reason)

    async def relay(self, call: RelayedCall) -> RelayedResponse:
        """
        Make a call through another node.

        Returns
        -------
        RelayedResponse
            The store's response; its status is zero if the response was lost
            and the call may have had an effect.

        Raises
        ------
        StoreRelayError
            No peer could relay the call, which had no effect.

        """
        for peer in self._choose_peers():
            response = await self._try_peer(peer, call)
            if response.status or not response.is_undone:
                return response
        self._backs_off_until = self._timers.now() + _BACKOFF_SECONDS
        raise StoreRelayError(
            'no other node reaches the store either',
            remedy='wait until it has recovered',
        )

    async def _try_peer(self, peer: str, call: RelayedCall) -> RelayedResponse:
        """Send a call to one peer; an unanswered read counts as undone."""
        try:
            response = await self._ask(peer, call)
        except (UnreachableError, OverloadedError):
            response = RelayedResponse(0, is_undone=True)
        except TransportError:
            response = RelayedResponse(0, is_undone=call.is_read)
        else:
            if not response.status:
                self._outage_shared_at = self._timers.now()
        outcome = 'answered' if response.status else 'not-answered'
        _relayed_counter.labels(outcome).inc()
        if not response.status:
            self._failed_at[peer] = self._timers.now()
        return response

    def _choose_peers(self) -> list[str]:
        """Return the peers to try; those that failed recently come last."""
        now = self._timers.now()
        self._failed_at = {
            peer: at
            for peer, at in self._failed_at.items()
            if now - at < 2 * _BACKOFF_SECONDS
        }
        peers = sorted(
            self._list_peers(),
            key=lambda peer: self._failed_at.get(peer, 0),
        )
        return peers[:_MAX_PEERS]

    async def _ask(self, peer: str, call: RelayedCall) -> RelayedResponse:
        request = OutgoingRequest(
            b'POST',
            RELAY_PATH.encode(),
            ((b'Host', peer.encode()),),
            msgspec.msgpack.encode(call),
        )
        total = _CALL_TIMEOUT_SECONDS + call.wait_seconds
        limits = Timeouts(total, total, _CONNECT_TIMEOUT_SECONDS)
        async with self._pool.exchange(peer, request, limits) as response:
            body = await response.read()
            if response.status != _OK_STATUS:
                return RelayedResponse(0, is_undone=True)
            return decode_msgpack(body, RelayedResponse)
        raise AssertionError('exchange() neither yielded a response nor raised')
