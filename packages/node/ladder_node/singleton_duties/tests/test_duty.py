import pytest

from ladder_clients.cloud import CallOutcome
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_node.leases import (
    LeaseCandidate,
    LeaseHolder,
    LeaseManager,
    LeaseTerm,
)
from ladder_node.singleton_duties import DutyRefusedError, SingletonDuty
from ladder_standins.memory_table import MemoryTable, TableFault

TERM = LeaseTerm(2.2, 0.3, 0.5, takes_over_own_name=True)
HANDOVER_SECONDS = 3


class CallingDuty(SingletonDuty):
    """Makes a call each 0.1 s and records when it was made."""

    def __init__(self, node, candidate, timers, timeline):
        super().__init__(
            'counting', node, candidate, HANDOVER_SECONDS, timers, timeline
        )
        self.made = []
        self.outcomes = []
        self.is_active = True

    def _is_active(self):
        return self.is_active

    async def _hold(self, calls):
        while True:
            outcome = await calls.make(self._call)
            if outcome is CallOutcome.refused:
                raise DutyRefusedError('refused', remedy='release')
            await self._timers.sleep(0.1)

    async def _call(self, holder):
        self.made.append((self._timers.now(), holder.token))
        return self.outcomes.pop(0) if self.outcomes else CallOutcome.done


class CountingTable(MemoryTable):
    def __init__(self, timers, rows):
        super().__init__(timers)
        self._rows = rows
        self.calls = 0

    def _take_fault(self):
        self.calls += 1
        return super()._take_fault()


class Node:
    def __init__(self, name, timers, rows):
        self.table = CountingTable(timers, rows)
        timeline = Timeline(name, HybridClock(timers))
        self.leases = LeaseManager(
            self.table, LeaseHolder(name, f'{name}:1'), timers, timeline, TERM
        )
        candidate = LeaseCandidate(
            self.leases, name, lambda: [name], timers, 0.5
        )
        self.duty = CallingDuty(name, candidate, timers, timeline)

    @property
    def made(self):
        return self.duty.made

    async def start(self):
        await self.leases.start()
        await self.duty.start()

    async def close(self):
        await self.duty.close()
        await self.leases.close()

    async def kill(self):
        """End without a release, as a killed process does."""
        self.table.default_fault = TableFault.down
        await self.close()


@pytest.fixture
async def timers():
    return ManualTimerService(1000)


@pytest.fixture
async def nodes(timers):
    rows = MemoryTable(timers).rows
    nodes = [Node(name, timers, rows) for name in ('anna', 'bert')]
    yield nodes
    for node in nodes:
        await node.close()


async def test_first_call_waits_for_calls_of_a_holder_before(nodes, timers):
    await nodes[0].start()
    await timers.advance(HANDOVER_SECONDS - 0.1)
    assert not nodes[0].made
    await timers.advance(0.5)
    assert nodes[0].made


async def test_killed_holder_is_followed_after_the_handover_time(nodes, timers):
    anna, bert = nodes
    await anna.start()
    await timers.advance(5)
    await bert.start()
    await timers.advance(1)
    assert not bert.made
    await anna.kill()
    count = len(anna.made)
    await timers.advance(10)
    last, token = anna.made[-1]
    first, new_token = bert.made[0]
    assert new_token == token + 1
    assert first >= last + TERM.duration_seconds + HANDOVER_SECONDS - 1
    assert len(anna.made) == count


async def test_closed_holder_releases_the_duty_at_once(nodes, timers):
    anna, bert = nodes
    await anna.start()
    await timers.advance(5)
    await bert.start()
    await anna.duty.close()
    closed_at = timers.now()
    await timers.advance(6)
    assert bert.made[0][0] <= closed_at + HANDOVER_SECONDS + 1


async def test_refused_token_is_never_used_again(nodes, timers):
    anna = nodes[0]
    await anna.start()
    await timers.advance(4)
    token = anna.made[-1][1]
    anna.duty.outcomes = [CallOutcome.refused]
    await timers.advance(0.2)
    count = len(anna.made)
    await timers.advance(10)
    assert {token for _, token in anna.made[count:]} == {token + 1}


async def test_no_call_is_made_while_the_store_is_away(nodes, timers):
    anna = nodes[0]
    await anna.start()
    await timers.advance(5)
    anna.table.default_fault = TableFault.down
    gone_at = timers.now()
    await timers.advance(20)
    # Its validity is the term less the margin, from the last renewal.
    assert anna.made[-1][0] <= gone_at + 1.9
    anna.table.default_fault = TableFault.none
    count = len(anna.made)
    await timers.advance(6)
    assert len(anna.made) > count


async def test_short_outage_keeps_the_token_without_a_wait(nodes, timers):
    anna = nodes[0]
    await anna.start()
    await timers.advance(5)
    token = anna.made[-1][1]
    anna.table.default_fault = TableFault.down
    await timers.advance(3)
    anna.table.default_fault = TableFault.none
    back_at = timers.now()
    await timers.advance(1)
    assert anna.made[-1][0] > back_at
    assert anna.made[-1][1] == token


async def test_own_unanswered_call_delays_the_next_token(nodes, timers):
    """Such a call may take effect after one with the next token."""
    anna = nodes[0]
    anna.duty._handover_seconds = 10
    await anna.start()
    await timers.advance(12)
    anna.table.default_fault = TableFault.down
    anna.duty.outcomes = [CallOutcome.unknown for _ in range(99)]
    await timers.advance(5)
    anna.table.default_fault = TableFault.none
    anna.duty.outcomes.clear()
    unanswered_at, token = anna.made[-1]
    await timers.advance(15)
    first = next(at for at, one in anna.made if one > token)
    assert first >= unanswered_at + 10


async def test_answered_calls_do_not_delay_the_next_token(nodes, timers):
    anna = nodes[0]
    anna.duty._handover_seconds = 10
    await anna.start()
    await timers.advance(12)
    anna.table.default_fault = TableFault.down
    await timers.advance(5)
    anna.table.default_fault = TableFault.none
    token = anna.made[-1][1]
    await timers.advance(2)
    assert anna.made[-1][1] == token + 1


async def test_duty_that_is_taken_makes_no_call_with_the_old_token(
    nodes, timers
):
    anna, bert = nodes
    await anna.start()
    await timers.advance(5)
    # The path of one node to the store is lost, not that of the other.
    anna.table.default_fault = TableFault.down
    await bert.start()
    await timers.advance(12)
    anna.table.default_fault = TableFault.none
    await timers.advance(5)
    assert bert.made
    assert max(at for at, _ in anna.made) < min(at for at, _ in bert.made)


async def test_inactive_node_makes_no_store_calls(nodes, timers):
    anna = nodes[0]
    anna.duty.is_active = False
    await anna.start()
    await timers.advance(30)
    assert anna.table.calls == 0


async def test_duty_that_becomes_inactive_is_released(nodes, timers):
    anna, bert = nodes
    await anna.start()
    await timers.advance(5)
    anna.duty.is_active = False
    await timers.advance(1)
    await bert.start()
    await timers.advance(4.5)
    assert bert.made
    assert anna.made[-1][0] < bert.made[0][0]
