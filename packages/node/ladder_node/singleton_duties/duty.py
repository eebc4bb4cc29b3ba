"""Base of components that perform a duty while they hold its lease."""

import asyncio
import contextlib
from abc import abstractmethod

from loguru import logger
from prometheus_client import Gauge

from ladder_core.supervision import TaskComponent
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.leases import Lease, LeaseCandidate
from ladder_node.singleton_duties.calls import (
    DutyCalls,
    DutyLostError,
    DutyRefusedError,
)

_ATTEMPT_INTERVAL_SECONDS = 0.3
# Longest time after which a lease that was lost or is no longer needed is
# noticed while the duty waits for something else.
_CHECK_INTERVAL_SECONDS = 0.5
# A lease lapses for a moment if the store is slow. No calls are made then, but
# the duty goes on if its lease is renewed within this time.
_MAX_LAPSE_SECONDS = 2

_LEASE_LOST = 'lease-lost'

_held_gauge = Gauge(
    'ladder_duty_held', 'One while this node performs the duty', ('duty',)
)


class SingletonDuty(TaskComponent):
    """
    Perform a duty on one node of the deployment at a time.

    Parameters
    ----------
    duty : str
        Name of the duty and of its lease.
    node : str
        Name of this node.
    candidate : LeaseCandidate
        Tries to acquire the lease.
    handover_seconds : float
        Time for which a call without a response may still take effect. The
        first call is made this long after the lease was acquired.
    timers : TimerService
        Clock of the attempts.
    timeline : Timeline
        Records the begin and the end of each tenure.

    Notes
    -----
    The epoch of a lease grows by one with each acquisition. If it follows
    directly on that of the last tenure, no other process has held the lease
    since, and the first call waits only for this process's own unanswered
    calls.

    """

    def __init__(
        self,
        duty: str,
        node: str,
        candidate: LeaseCandidate,
        handover_seconds: float,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        super().__init__()
        self._duty = duty
        self._node = node
        self._candidate = candidate
        self._handover_seconds = handover_seconds
        self._timers = timers
        self._timeline = timeline
        self._lease: Lease | None = None
        self._last_calls: DutyCalls | None = None

    async def close(self) -> None:
        """Stop the duty and release its lease for another node."""
        await super().close()
        if self._lease is not None:
            await self._lease.release()
            self._lease = None

    @abstractmethod
    def _is_active(self) -> bool:
        """
        Return whether this node should hold the duty if no other one does.

        The node makes no store calls for the duty while it is not active.
        """

    @abstractmethod
    async def _hold(self, calls: DutyCalls) -> None:
        """
        Perform the duty; cancelled when the lease is lost.

        Raises
        ------
        DutyRefusedError
            The lease has to be released and its token not to be used again.
        DutyLostError
            The lease has ended.

        """

    async def _run(self) -> None:
        while True:
            if self._is_active():
                lease = await self._candidate.try_acquire(self._duty)
                if lease is not None:
                    await self._perform(lease)
            await self._timers.sleep(_ATTEMPT_INTERVAL_SECONDS)

    async def _perform(self, lease: Lease) -> None:
        """Perform the duty until its lease is lost or released."""
        self._lease = lease
        calls = self._make_calls(lease)
        self._last_calls = calls
        self._timeline.record(
            'duty-begun',
            self._duty,
            epoch=lease.epoch,
            wait=round(calls.first_call_wait(), 3),
        )
        _held_gauge.labels(self._duty).set(1)
        reason = 'closed'
        try:
            reason = await self._watch(calls)
        finally:
            _held_gauge.labels(self._duty).set(0)
            self._timeline.record(
                'duty-ended', self._duty, epoch=lease.epoch, reason=reason
            )
        if reason != _LEASE_LOST:
            await lease.release()
            # Other nodes may acquire the lease meanwhile.
            await self._timers.sleep(self._handover_seconds)

    def _make_calls(self, lease: Lease) -> DutyCalls:
        last = self._last_calls
        wait_seconds = self._handover_seconds
        if last is not None and last.lease.epoch == lease.epoch:
            return last
        if last is not None and last.lease.epoch + 1 == lease.epoch:
            wait_seconds = last.unsettled_seconds()
        return DutyCalls(
            self._node,
            lease,
            self._timers,
            self._handover_seconds,
            wait_seconds,
        )

    async def _watch(self, calls: DutyCalls) -> str:
        """Run the duty until its lease is lost; return why it ended."""
        work = asyncio.ensure_future(self._hold_logged(calls))
        lapsed_seconds: float = 0
        try:
            while not work.done():
                reason = self._find_end_reason(calls.lease, lapsed_seconds)
                if reason:
                    return reason
                await self._wait(work)
                lapsed_seconds += _CHECK_INTERVAL_SECONDS
                if calls.lease.is_valid():
                    lapsed_seconds = 0
            return work.result()
        finally:
            work.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await work

    def _find_end_reason(self, lease: Lease, lapsed_seconds: float) -> str:
        """Return why the duty ends; empty if it goes on."""
        if lease.is_ended or lapsed_seconds > _MAX_LAPSE_SECONDS:
            return _LEASE_LOST
        return '' if self._is_active() else 'inactive'

    async def _wait(self, work: asyncio.Future[str]) -> None:
        """Wait until the work ends or a check is due."""
        timer = asyncio.ensure_future(
            self._timers.sleep(_CHECK_INTERVAL_SECONDS)
        )
        try:
            await asyncio.wait(
                (timer, work), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()

    async def _hold_logged(self, calls: DutyCalls) -> str:
        """Perform the duty and return why it ended."""
        try:
            await self._hold(calls)
        except DutyRefusedError as error:
            return error.kind
        except DutyLostError:
            return _LEASE_LOST
        except Exception as error:
            logger.exception(
                'duty {} failed; its lease is released', self._duty
            )
            return repr(error)
        return 'finished'
