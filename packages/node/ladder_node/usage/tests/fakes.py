"""Nodes that count and report usage, with a platform and a store in memory."""

import asyncio
from types import SimpleNamespace

from ladder_clients.cloud import CallOutcome, CloudClient
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService, TimerService
from ladder_node.leases import (
    LeaseCandidate,
    LeaseHolder,
    LeaseManager,
    LeaseTerm,
)
from ladder_node.usage import (
    HolderClock,
    ReportTerms,
    UsageCounter,
    UsageReporter,
    UsageSaver,
    WindowClock,
)
from ladder_standins.memory_table import MemoryTable, TableFault

WINDOW_SECONDS = 5
HANDOVER_SECONDS = 3
LATE_SECONDS = 10
TERM = LeaseTerm(2.2, 0.3, 0.5, takes_over_own_name=True)
# Shortly after the begin of a window.
START = 1_000_000.1


class HostTimers(TimerService):
    """Clocks of one host; its wall clock may be wrong."""

    def __init__(self, base):
        self._base = base
        self.wall_error = 0

    def now(self):
        return self._base.now()

    async def sleep(self, seconds):
        await self._base.sleep(seconds)

    def wall_milliseconds(self):
        return int((self._base.now() + self.wall_error) * 1000)


class Platform:
    """
    Records the reports that take effect, and how calls are answered.

    A call without a response takes effect after `late_seconds`.
    """

    def __init__(self, timers):
        self.late_seconds: float = 0
        self.rejected_windows = set()
        self._late = []
        self.timers = timers
        self.reports = []
        self.outcomes = []
        self.default_outcome = CallOutcome.done

    async def execute(self, report, seconds):
        await self.timers.sleep(seconds)
        report.at = self.timers.now()
        self.reports.append(report)

    def execute_late(self, report):
        late = self.execute(report, self.late_seconds)
        self._late.append(asyncio.create_task(late))

    async def close(self):
        for task in self._late:
            task.cancel()
        await asyncio.gather(*self._late, return_exceptions=True)

    @property
    def counts(self):
        """The counts by window; fails if two reports of one differ."""
        counts: dict[int, dict[str, int]] = {}
        for report in self.reports:
            known = counts.setdefault(report.window, report.counts)
            assert known == report.counts, report.window
        return counts

    def check_tokens(self):
        """Fail on a lower token, or on a holder that is back too soon."""
        for before, after in zip(self.reports, self.reports[1:], strict=False):
            assert before.token <= after.token
            if before.holder != after.holder:
                assert after.sent_at - before.sent_at >= HANDOVER_SECONDS

    def find_delay(self, window):
        at = min(one.at for one in self.reports if one.window == window)
        return at - (window + 1) * WINDOW_SECONDS


class FakeCloudClient(CloudClient):
    def __init__(self, platform):
        self._platform = platform

    async def report_usage(self, holder, window, counts):
        platform = self._platform
        outcome = (
            platform.outcomes.pop(0)
            if platform.outcomes
            else platform.default_outcome
        )
        report = SimpleNamespace(
            at=platform.timers.now(),
            sent_at=platform.timers.now(),
            holder=holder.name,
            token=holder.token,
            window=window,
            counts=dict(counts),
        )
        if window in platform.rejected_windows:
            return CallOutcome.unavailable
        if outcome is CallOutcome.done:
            platform.reports.append(report)
        elif outcome is CallOutcome.unknown:
            platform.execute_late(report)
        return outcome

    async def order_replicas(self, holder, order):
        raise NotImplementedError


class Node:
    def __init__(self, name, deployment):
        self.name = name
        self.timers = HostTimers(deployment.timers)
        self.table = MemoryTable(deployment.timers)
        self.table._rows = deployment.rows
        self.timeline = Timeline(name, HybridClock(self.timers))
        self.leases = LeaseManager(
            self.table,
            LeaseHolder(name, f'{name}:1'),
            self.timers,
            self.timeline,
            TERM,
        )
        self.counter = UsageCounter(WindowClock(self.timers, WINDOW_SECONDS))
        self.saver = UsageSaver(
            self.table, name, self.counter, self.timers, self.timeline
        )
        self.reporter = UsageReporter(
            name,
            LeaseCandidate(self.leases, name, lambda: [name], self.timers, 0.5),
            self.table,
            FakeCloudClient(deployment.platform),
            deployment.routes,
            HolderClock(self.timers, WINDOW_SECONDS, self.table),
            ReportTerms(HANDOVER_SECONDS, LATE_SECONDS),
            self.timers,
            self.timeline,
        )
        self._sent = 0

    async def start(self, is_candidate=True):
        await self.leases.start()
        await self.saver.start()
        if is_candidate:
            await self.reporter.start()

    def send(self, organisation='acme', number=1):
        """Count requests; return the mark of the last one."""
        for _ in range(number):
            self._sent += 1
            mark = self.counter.begin(organisation, f'{self.name}-{self._sent}')
        return mark

    async def save_late(self, window, counts):
        """Write counts of a window as a node does that was cut off."""
        known = self.counter.list_all()[window]
        known.counts.update(counts)
        known.changes += 1
        await self.saver.save(window)

    async def close(self):
        await self.reporter.close()
        await self.saver.close()
        await self.leases.close()

    async def kill(self):
        """End without a write, as a killed process does."""
        self.table.default_fault = TableFault.down
        self.table.faults.clear()
        await self.close()

    def list_events(self, kind):
        events = self.timeline.read(HybridTime(), 4096)
        return [event for event in events if event.kind == kind]


class Deployment:
    def __init__(self):
        self.timers = ManualTimerService(START)
        self.rows = MemoryTable(self.timers).rows
        self.platform = Platform(self.timers)
        self.routes = SimpleNamespace(
            current=SimpleNamespace(organisations=object())
        )
        self.nodes = []

    @property
    def window(self):
        return int(self.timers.now() // WINDOW_SECONDS)

    async def add(self, name, is_candidate=True):
        node = Node(name, self)
        self.nodes.append(node)
        await node.start(is_candidate)
        return node

    async def advance_to(self, window, seconds=0):
        """Advance the time to some seconds after the begin of a window."""
        await self.timers.advance(
            window * WINDOW_SECONDS + seconds - self.timers.now()
        )

    async def close(self):
        for node in self.nodes:
            await node.close()
        await self.platform.close()
