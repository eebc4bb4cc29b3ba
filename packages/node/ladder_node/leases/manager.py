"""Acquire, renew and release the leases of one node."""

from collections.abc import Iterable
from dataclasses import dataclass

from loguru import logger
from prometheus_client import Counter, Gauge

from ladder_clients.table import Outcome, StoreOutcomeUnknownError, TableClient
from ladder_core.errors import StoreUnavailableError
from ladder_core.supervision import Component
from ladder_core.timeline import Timeline
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.leases.expiry import ExpiryWatch
from ladder_node.leases.lease import Lease
from ladder_node.leases.store import (
    Grant,
    LeaseHolder,
    LeaseSnapshot,
    LeaseStore,
)
from ladder_node.leases.term import LeaseTerm

# Delay before a failed renewal is repeated, as a share of the time between
# renewals.
_RETRY_DELAY_SHARE = 0.2
# Failed attempts over more than this many renewal periods count as an outage.
_MIN_OUTAGE_RENEWALS = 2
# Time for which a lease that was released for one node is left to it.
_SUCCESSOR_SECONDS = 1
_STORE_ERRORS = (StoreUnavailableError, StoreOutcomeUnknownError)

_held_gauge = Gauge('ladder_leases_held', 'Leases held by this node')
_acquired_counter = Counter(
    'ladder_leases_acquired_total',
    'Leases acquired by this node',
)
_lost_counter = Counter(
    'ladder_leases_lost_total',
    'Leases that ended without a release',
    ('reason',),
)
_failed_renewals_counter = Counter(
    'ladder_lease_renewals_failed_total',
    'Renewals that the table service did not confirm',
)


@dataclass(frozen=True, slots=True)
class _FailedAttempt:
    """An attempt to acquire a lease that the table did not answer."""

    started_at: float
    ended_at: float


class LeaseManager(Component):
    """
    Acquire, renew and release the leases of one node.

    Parameters
    ----------
    table : TableClient
        Client of the table service that stores the leases.
    node : LeaseHolder
        Name and entry address of this node, written into its leases.
    timers : TimerService
        This node's clock, on which terms and renewals are measured.
    timeline : Timeline
        Records each acquisition, release and loss of a lease.
    term : LeaseTerm, optional
        Duration of leases and interval of their renewal.

    Notes
    -----
    A lease is valid for its term less a margin, counted from the moment before
    its renewal was sent. Another node acquires it after it has observed the
    rows of the lease and of the heartbeat unchanged for a term, and its
    transaction requires that both still are. An expired lease becomes valid
    again when its renewal succeeds, because the renewal requires that no other
    node has acquired it.

    """

    def __init__(
        self,
        table: TableClient,
        node: LeaseHolder,
        timers: TimerService,
        timeline: Timeline,
        term: LeaseTerm | None = None,
    ) -> None:
        self._term = term or LeaseTerm()
        self._name = node.name
        self._store = LeaseStore(table, node)
        self._timers = timers
        self._timeline = timeline
        self._watch = ExpiryWatch(timers)
        self._failed_attempts: list[_FailedAttempt] = []
        self._held: dict[str, Lease] = {}
        self._acquiring: set[str] = set()
        self._periodic_call: PeriodicCall | None = None

    async def start(self) -> None:
        """Start to renew the held leases periodically."""
        self._periodic_call = self._timers.call_periodically(
            self._term.renewal_seconds,
            self.renew,
        )

    async def close(self) -> None:
        """Stop renewing, and release all leases in one transaction."""
        if self._periodic_call is None:
            return
        await self._periodic_call.close()
        self._periodic_call = None
        await self._release(tuple(self._held.values()))
        if not self._store.has_heartbeat:
            return
        try:
            await self._store.delete_heartbeat()
        except _STORE_ERRORS as error:
            logger.warning('heartbeat row was not deleted: {}', error)

    async def acquire(self, name: str) -> Lease | None:
        """
        Acquire a lease that is free, released or expired.

        Parameters
        ----------
        name : str
            Name of the duty, which is also the name of its lease.

        Returns
        -------
        Lease or None
            The lease; the same object while this node holds it. None if
            another node may still hold it, or if the table service did not
            confirm the acquisition.

        """
        held = self._held.get(name)
        if held is not None and held.is_valid():
            return held
        if name in self._acquiring:
            return None
        if held is not None:
            self._mark_lost(held, 'expired')
        self._acquiring.add(name)
        started_at = self._timers.now()
        try:
            return await self._acquire(name)
        except _STORE_ERRORS as error:
            logger.warning('lease {} not acquired: {}', name, error)
            self._failed_attempts.append(
                _FailedAttempt(started_at, self._timers.now())
            )
            return None
        finally:
            self._acquiring.discard(name)

    def find_own(self, name: str) -> Lease | None:
        """Return a lease that this node holds if it is valid now."""
        held = self._held.get(name)
        return held if held is not None and held.is_valid() else None

    async def find_holder(self, name: str) -> LeaseHolder | None:
        """
        Return the holder that the table names for a lease, or None.

        Raises
        ------
        StoreUnavailableError
            The table service does not answer.

        """
        return await self._store.find_holder(name)

    async def renew(self) -> None:
        """Renew all held leases with one write; end those taken by others."""
        while self._held:
            leases = tuple(self._held.values())
            sent_at = self._timers.now()
            try:
                outcome = await self._store.renew(leases)
            except _STORE_ERRORS as error:
                _failed_renewals_counter.inc()
                logger.warning('leases not renewed: {}', error)
                if not any(lease.is_valid() for lease in leases):
                    return
                await self._timers.sleep(
                    _RETRY_DELAY_SHARE * self._term.renewal_seconds,
                )
                continue
            if outcome.committed:
                self._extend(leases, sent_at)
                return
            for lease in _select_taken(leases, outcome):
                self._mark_lost(lease, 'taken')

    async def _acquire(self, name: str) -> Lease | None:
        snapshot = await self._store.read(name)
        self._exclude_outage()
        if snapshot.is_held_elsewhere and not self._is_own_predecessor(
            snapshot
        ):
            unchanged_seconds = self._watch.observe(name, snapshot.conditions)
            if unchanged_seconds < self._term.duration_seconds:
                return None
        if snapshot.content.successor not in {'', self._name}:
            unchanged_seconds = self._watch.observe(name, snapshot.conditions)
            if unchanged_seconds < _SUCCESSOR_SECONDS:
                return None
        sent_at = self._timers.now()
        grant = await self._store.acquire(snapshot)
        if grant is None:
            return None
        return self._register(name, grant, sent_at, snapshot.content.holder)

    def _register(
        self,
        name: str,
        grant: Grant,
        sent_at: float,
        previous: str,
    ) -> Lease:
        lease = Lease(
            name,
            grant.epoch,
            grant.revision,
            self._timers,
            self._release_one,
        )
        self._extend((lease,), sent_at)
        self._held[name] = lease
        self._watch.remove(name)
        _acquired_counter.inc()
        _held_gauge.set(len(self._held))
        self._timeline.record(
            'lease-acquired',
            name,
            epoch=grant.epoch,
            previous=previous,
        )
        return lease

    def _exclude_outage(self) -> None:
        """Exclude an outage of the table, in which no holder could renew."""
        if not self._failed_attempts:
            return
        failing_seconds = (
            self._failed_attempts[-1].ended_at
            - self._failed_attempts[0].started_at
        )
        self._failed_attempts.clear()
        is_long = (
            failing_seconds > _MIN_OUTAGE_RENEWALS * self._term.renewal_seconds
        )
        if is_long and self._term.excludes_outages:
            self._watch.exclude_unobserved_time()

    def _is_own_predecessor(self, snapshot: LeaseSnapshot) -> bool:
        return (
            self._term.takes_over_own_name
            and snapshot.content.holder == self._name
        )

    def _extend(self, leases: Iterable[Lease], sent_at: float) -> None:
        for lease in leases:
            lease.extend(
                sent_at
                + self._term.duration_seconds
                - self._term.margin_seconds
            )

    def _mark_lost(self, lease: Lease, reason: str) -> None:
        self._remove(lease)
        _lost_counter.labels(reason).inc()
        self._timeline.record(
            'lease-lost',
            lease.name,
            epoch=lease.epoch,
            reason=reason,
        )

    def _remove(self, lease: Lease) -> None:
        lease.end()
        if self._held.get(lease.name) is lease:
            self._held.pop(lease.name)
        _held_gauge.set(len(self._held))

    async def _release_one(self, lease: Lease, successor: str) -> None:
        if self._held.get(lease.name) is lease:
            await self._release((lease,), successor)

    async def _release(
        self, leases: tuple[Lease, ...], successor: str = ''
    ) -> None:
        for lease in leases:
            self._remove(lease)
            self._timeline.record(
                'lease-released',
                lease.name,
                epoch=lease.epoch,
                successor=successor,
            )
        while leases:
            try:
                outcome = await self._store.release(leases, successor)
            except _STORE_ERRORS as error:
                logger.warning('leases not released; they expire: {}', error)
                return
            if outcome.committed:
                return
            taken = _select_taken(leases, outcome)
            if not taken:
                # A repeated release would be refused again; the leases expire.
                return
            leases = tuple(lease for lease in leases if lease not in taken)


def _select_taken(
    leases: Iterable[Lease],
    outcome: Outcome,
) -> list[Lease]:
    taken = {row.key for row in outcome.conflicts}
    return [lease for lease in leases if lease.name in taken]
