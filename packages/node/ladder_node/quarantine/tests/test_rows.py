import msgspec
import pytest

from ladder_clients.table import Row, Transaction, Write
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService
from ladder_node.quarantine import EvidenceRow, EvidenceSender
from ladder_node.quarantine.rows import CrashRows
from ladder_node.quarantine.verdicts import RequestVerdicts
from ladder_node.quarantine.writer import CRASHES_TABLE, EvidenceWriter
from ladder_policy.quarantine import RequestState
from ladder_standins.memory_table import MemoryTable, TableFault


class RecordingSender(EvidenceSender):
    def __init__(self):
        self.sent = []

    async def send(self, rows):
        self.sent.extend(rows)


class Harness:
    def __init__(self):
        self.timers = ManualTimerService()
        self.timeline = Timeline('a', HybridClock(self.timers))
        self.table = MemoryTable(self.timers)
        self.sender = RecordingSender()
        self.verdicts = RequestVerdicts('a', self.timers, self.timeline)
        self.writer = EvidenceWriter(self.table, self.sender, self.timers)
        self.rows = CrashRows(
            self.table, self.verdicts, self.writer, 'a', self.timers
        )

    def list_keys(self):
        return [row.key for row in self.table.rows.scan(CRASHES_TABLE)]

    def make_row(self, key, age_seconds=0):
        at = self.timers.wall_milliseconds() - 1000 * age_seconds
        body = msgspec.json.encode({'node': 'b', 'at': at}).decode()
        return Row(CRASHES_TABLE, key, body, 1)

    def list_events(self, kind):
        events = self.timeline.read(HybridTime(), 99)
        return [one for one in events if one.kind == kind]


@pytest.fixture
async def harness():
    made = Harness()
    await made.writer.start()
    await made.rows.start()
    yield made
    await made.rows.close()
    await made.writer.close()


async def test_crash_of_another_node_is_applied_with_its_age(harness):
    rows = [harness.make_row(f'd/crash/r{n}@0', 30) for n in range(2)]
    harness.rows.change(rows, ())
    verdict = harness.verdicts.judge('d')
    assert verdict.state is RequestState.quarantined
    assert verdict.retry_at < harness.timers.now()
    event = harness.list_events('request-quarantined')[0]
    assert event.fields['source'] == 'b'
    assert event.fields['processes'] == 'r0@0,r1@0'
    assert float(event.fields['age']) == 30


async def test_clock_of_another_host_makes_no_crash_lie_in_the_future(harness):
    rows = [harness.make_row(f'd/crash/r{n}@0', -3600) for n in range(2)]
    harness.rows.change(rows, ())
    assert harness.verdicts.judge('d').retry_at <= harness.timers.now() + 1


# Guards against trials that came too early or too late because the wall clocks
# of two hosts differed.
@pytest.mark.parametrize('jump_seconds', [-11, 11])
async def test_age_of_a_crash_follows_the_clock_of_the_table(
    harness, jump_seconds
):
    now = harness.table.make_timestamp(harness.timers)
    body = msgspec.json.encode(
        {
            'node': 'b',
            'at': now.wall + 1000 * jump_seconds,
            'service_at': now.service,
        }
    ).decode()
    await harness.timers.advance(3)
    rows = [
        Row(CRASHES_TABLE, f'd/crash/r{number}@0', body, 1)
        for number in range(2)
    ]
    harness.rows.change(rows, ())
    event = harness.list_events('request-quarantined')[0]
    assert float(event.fields['age']) == 3


@pytest.mark.parametrize('key', ['d', 'd/crash', 'd/trial/x', ''])
async def test_malformed_rows_are_ignored(harness, key):
    row = harness.make_row(key)
    harness.rows.change([row], [row])
    harness.rows.change([Row(CRASHES_TABLE, 'd/crash/r@0', '{', 1)], ())
    assert 'd' not in harness.verdicts


async def test_full_read_withdraws_rows_that_are_gone(harness):
    harness.rows.change([harness.make_row('d/crash/r@0')], ())
    harness.rows.replace([harness.make_row('e/crash/r@0')], 5)
    assert 'd' not in harness.verdicts
    assert 'e' in harness.verdicts


async def test_full_read_keeps_crashes_that_only_the_peers_know(harness):
    row = harness.make_row('d/crash/r@0')
    harness.rows.receive([EvidenceRow(row.key, row.body)])
    harness.rows.replace([], 5)
    assert 'd' in harness.verdicts


async def test_row_that_is_being_removed_is_not_applied_again(harness):
    harness.writer.queue('d/crash/r@0', None)
    harness.rows.change([harness.make_row('d/crash/r@0')], ())
    assert 'd' not in harness.verdicts


async def test_rows_wait_for_the_table_and_the_peers_are_told_once(harness):
    harness.table.default_fault = TableFault.down
    harness.rows.publish_crash('d', 'r@0')
    await harness.timers.advance(3)
    harness.table.default_fault = TableFault.none
    await harness.timers.advance(1)
    assert harness.list_keys() == ['d/crash/r@0']
    assert [row.key for row in harness.sender.sent] == ['d/crash/r@0']


async def test_confirmed_rows_are_not_sent_to_the_peers(harness):
    harness.rows.publish_crash('d', 'r@0')
    await harness.timers.advance(1)
    assert not harness.sender.sent


async def test_removal_during_an_outage_is_sent_too(harness):
    harness.table.default_fault = TableFault.down
    harness.rows.publish_crash('d', 'r@0')
    await harness.timers.advance(1)
    harness.writer.queue('d/crash/r@0', None)
    await harness.timers.advance(1)
    assert [row.body is None for row in harness.sender.sent] == [False, True]


async def test_writes_are_paced(harness):
    for number in range(2000):
        harness.rows.publish_crash(str(number), 'r@0')
    await harness.timers.advance(0.9)
    assert harness.table.rows.revision <= 10
    await harness.timers.advance(4)
    assert len(harness.list_keys()) == 2000


async def test_rows_beyond_the_limit_are_dropped(harness):
    harness.table.default_fault = TableFault.down
    for number in range(3000):
        harness.rows.publish_crash(str(number), 'r@0')
    await harness.timers.advance(1)
    harness.table.default_fault = TableFault.none
    await harness.timers.advance(10)
    assert len(harness.list_keys()) == 2048


async def test_trial_that_another_node_has_is_learned(harness):
    row = harness.make_row('d/trial/0')
    write = Write(CRASHES_TABLE, row.key, row.body)
    harness.table.apply(Transaction('other', (), (write,)))
    assert not await harness.rows.claim_trial('d', 0)
    assert harness.verdicts.find_evidence('d').trials == (0,)
    assert await harness.rows.claim_trial('d', 1)


async def test_old_rows_of_unknown_requests_are_removed(harness):
    for key, age_seconds in (('old', 1300), ('new', 10)):
        row = harness.make_row(f'{key}/crash/r@0', age_seconds)
        write = Write(CRASHES_TABLE, row.key, row.body)
        harness.table.apply(Transaction(key, (), (write,)))
    await harness.rows.clean()
    await harness.timers.advance(1)
    assert harness.list_keys() == ['new/crash/r@0']


async def test_expired_evidence_is_forgotten(harness):
    harness.rows.change([harness.make_row('d/crash/r@0')], ())
    await harness.timers.advance(601)
    await harness.rows.clean()
    assert 'd' not in harness.verdicts


async def test_writer_goes_on_after_an_unexpected_error(harness):
    """Guards against evidence that waits for good."""
    errors = [RuntimeError('unexpected')]
    commit = harness.table.commit

    async def fail_once(transaction):
        if errors:
            raise errors.pop()
        return await commit(transaction)

    harness.table.commit = fail_once
    harness.rows.publish_crash('d', 'r@0')
    await harness.timers.advance(2)
    assert harness.list_keys() == ['d/crash/r@0']
