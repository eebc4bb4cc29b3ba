"""Probes of the paths to replicas by new connections."""

import math
from collections.abc import Sequence

from ladder_clients.exchanges import (
    ConnectionPool,
    PersistentConnection,
    Reachability,
)
from ladder_core.timers import TimerService

# Time without a byte from any replica of a service, while an answer is waited
# for, after which the path is in doubt. It is shorter if many are waited for.
_SILENCE_SECONDS = 0.4
_MANY_SILENT_SECONDS = 0.25
_MANY_ANSWERS = 4
PROBE_CONNECT_SECONDS = 0.2
_DOUBT_PROBES = 2
_INTERVAL_SECONDS = 0.6
# Pause after a probe that found the path sound.
_SOUND_INTERVAL_SECONDS = 2
# Time after such a probe in which answers that were overdue then are put down
# to their replicas.
_SLOW_REPLICA_SECONDS = 8
# Pause between two checks of a quiet path while other hosts have lost theirs.
_VERIFICATION_INTERVAL_SECONDS = 8


class PathProber:
    """
    Make connections to replicas to find out whether they are reachable.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to replicas; those that are made are kept for requests.
    timers : TimerService
        Clock of silences and pauses.

    """

    def __init__(self, pool: ConnectionPool, timers: TimerService) -> None:
        self._pool = pool
        self._timers = timers
        self._next_at: dict[str, float] = {}
        self._sound_at: dict[str, float] = {}
        self._verify_at: dict[str, float] = {}
        self._suspected: set[str] = set()
        self._probes = 0

    def is_due(self, service: str) -> bool:
        """Return whether the pause after the last probe is over."""
        return self._timers.now() >= self._next_at.get(service, 0)

    def suspect(self, service: str) -> None:
        """Let the path be probed unless a replica sends something now."""
        self._suspected.add(service)

    def record_unreachable(self, service: str) -> None:
        """Record that a replica is out of reach since the last sound probe."""
        self._sound_at.pop(service, None)

    def count_needed(
        self, service: str, addresses: Sequence[str], is_verifier: bool
    ) -> int:
        """
        Return the number of replicas to probe at once, or zero.

        Parameters
        ----------
        service : str
            Name of the service, whose path is not known to be lost.
        addresses : sequence of str
            ``ip:port`` of its replicas.
        is_verifier : bool
            Whether this node checks its path since another one lost its own.

        """
        if self._is_in_doubt(service, addresses):
            return _DOUBT_PROBES
        return int(is_verifier and self._needs_verification(service, addresses))

    async def probe(
        self, service: str, addresses: Sequence[str], count: int
    ) -> None:
        """
        Probe replicas of a service until one is reached, other ones each time.

        Parameters
        ----------
        service : str
            Name of the service.
        addresses : sequence of str
            ``ip:port`` of its replicas, at least one.
        count : int
            Largest number of replicas to probe one after the other.

        """
        started_at = self._timers.now()
        first = self._probes
        self._probes += count
        chosen = {
            addresses[(first + offset) % len(addresses)]: None
            for offset in range(count)
        }
        self._next_at[service] = started_at + _INTERVAL_SECONDS
        self._suspected.discard(service)
        for address in chosen:
            reached = await self._pool.probe(address, PROBE_CONNECT_SECONDS)
            if reached is Reachability.reached:
                self._sound_at[service] = started_at
                self._next_at[service] = (
                    self._timers.now() + _SOUND_INTERVAL_SECONDS
                )
                return
        self._suspected.add(service)

    def _is_in_doubt(self, service: str, addresses: Sequence[str]) -> bool:
        """
        Return whether the path to a service should be probed.

        Parameters
        ----------
        service : str
            Name of the service.
        addresses : sequence of str
            ``ip:port`` of its replicas.

        Returns
        -------
        bool
            True if no replica has sent a byte for a while, and an answer is
            overdue or a connection broke. An answer that was waited for when
            the path was last found sound tells nothing of the path.

        """
        sound_at = self._sound_at.get(service, -math.inf)
        if self._timers.now() - sound_at > _SLOW_REPLICA_SECONDS:
            sound_at = -math.inf
        waiting = [
            connection.silent_since
            for connection in self._list_connections(addresses)
            if connection.silent_since is not None
            and connection.silent_since > sound_at
        ]
        is_many = len(waiting) >= _MANY_ANSWERS
        silence = _MANY_SILENT_SECONDS if is_many else _SILENCE_SECONDS
        if not self._is_quiet(addresses, silence):
            self._suspected.discard(service)
            return False
        limit = self._timers.now() - silence
        return service in self._suspected or any(
            since <= limit for since in waiting
        )

    def _needs_verification(
        self, service: str, addresses: Sequence[str]
    ) -> bool:
        """Return whether a path is to be checked, as others lost theirs."""
        now = self._timers.now()
        is_due = now >= self._verify_at.get(service, 0)
        if not is_due or not self._is_quiet(addresses, _SILENCE_SECONDS):
            return False
        self._verify_at[service] = now + _VERIFICATION_INTERVAL_SECONDS
        return True

    def _is_quiet(self, addresses: Sequence[str], seconds: float) -> bool:
        """Return whether no replica has sent a byte for some time."""
        limit = self._timers.now() - seconds
        return all(
            connection.received_at <= limit
            for connection in self._list_connections(addresses)
        )

    def _list_connections(
        self, addresses: Sequence[str]
    ) -> list[PersistentConnection]:
        return [
            connection
            for address in addresses
            for connection in self._pool.list_connections(address)
        ]
