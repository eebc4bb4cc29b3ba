import pytest

from ladder_core.errors import QuarantinedRequestError
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService
from ladder_node.quarantine import (
    CrashDetector,
    GuardedRequest,
    QuarantineGuard,
)
from ladder_node.quarantine.rows import CrashRows
from ladder_node.quarantine.tests.test_rows import RecordingSender
from ladder_node.quarantine.verdicts import RequestVerdicts
from ladder_node.quarantine.writer import EvidenceWriter
from ladder_node.replicas import ReplicaRegistry
from ladder_standins.memory_table import MemoryTable


class CrashingTable(MemoryTable):
    """Reports a crash while the next trial is claimed."""

    def __init__(self):
        super().__init__()
        self.verdicts: RequestVerdicts | None = None
        self.crash = ''

    async def commit(self, transaction):
        if self.crash and transaction.conditions:
            assert self.verdicts is not None
            self.verdicts.add_crash('d', self.crash, 0, 'b')
            self.crash = ''
        return await super().commit(transaction)


class Harness:
    def __init__(self):
        self.timers = ManualTimerService()
        self.timeline = Timeline('a', HybridClock(self.timers))
        self.table = CrashingTable()
        self.verdicts = RequestVerdicts('a', self.timers, self.timeline)
        self.table.verdicts = self.verdicts
        self.writer = EvidenceWriter(self.table, RecordingSender(), self.timers)
        rows = CrashRows(
            self.table, self.verdicts, self.writer, 'a', self.timers
        )
        detector = CrashDetector(
            ReplicaRegistry(self.timers, self.timeline),
            None,  # type: ignore[arg-type]
            self.timers,
            self.timeline,
        )
        self.guard = QuarantineGuard(
            detector, self.verdicts, rows, 'a', self.timers, self.timeline
        )

    def list_events(self, kind):
        events = self.timeline.read(HybridTime(), 99)
        return [one.subject for one in events if one.kind == kind]


@pytest.fixture
async def harness():
    made = Harness()
    await made.writer.start()
    yield made
    await made.writer.close()


async def test_crash_during_the_claim_of_a_trial_refuses_it(harness):
    """
    Guards against a trial for which the time has not come.

    Another node reported a crash while the row of the trial was written, so the
    next pause had begun.
    """
    for process in ('r1@0', 'r2@0'):
        harness.verdicts.add_crash('d', process, 10, 'a')
    harness.table.crash = 'r3@0'
    with pytest.raises(QuarantinedRequestError) as caught:
        await harness.guard.admit(GuardedRequest('d'))
    assert caught.value.retry_after == 5
    assert not harness.verdicts.find_evidence('d').trials


async def test_every_request_whose_verdict_changes_is_logged(harness):
    """
    Guards against verdicts that change without a line.

    A request that had explained the crashes of another one was cleared, which
    quarantined the other one again.
    """
    for process in ('r1@0', 'r2@0', 'r3@0'):
        harness.verdicts.add_crash('guilty', process, 0, 'a')
    for process in ('r1@0', 'r2@0'):
        harness.verdicts.add_crash('other', process, 0, 'a')
    assert not harness.list_events('request-quarantined').count('other')
    harness.verdicts.clear('guilty', 'a')
    assert harness.list_events('request-quarantined').count('other') == 1


async def test_attempts_at_one_node_share_no_trial(harness):
    """
    Guards against two runs in one trial of the deployment.

    A trial was claimed for a request, not for an attempt at it: a second
    attempt at the node was admitted too, and its end withdrew the trial.
    """
    for process in ('r1@0', 'r2@0'):
        harness.verdicts.add_crash('d', process, 10, 'a')
    first, second = GuardedRequest('d'), GuardedRequest('d')
    await harness.guard.admit(first)
    with pytest.raises(QuarantinedRequestError):
        await harness.guard.admit(second)
    harness.guard.release(second)
    assert harness.verdicts.find_evidence('d').trials == (0,)
    harness.guard.release(first)
    assert not harness.verdicts.find_evidence('d').trials
