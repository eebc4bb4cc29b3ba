import asyncio
import contextlib
from dataclasses import replace

import pytest

from ladder_clients.probes import TargetProbe
from ladder_core.errors import (
    AnswerCorruptError,
    LadderError,
    RunFailedError,
    TargetFullError,
    TargetLostError,
    TargetTimeoutError,
)
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import Replica
from ladder_node.quarantine import CrashDetector, CrashListener
from ladder_node.replicas import ReplicaRegistry

REPLICA = Replica('r', 'app', 'r:1', 'leith', 6, started_at=5)


class ScriptedProbe(TargetProbe):
    """Takes half a second to find out whether an address is refused."""

    def __init__(self, timers):
        self.timers = timers
        self.gone = set()
        self.calls = []

    async def is_gone(self, address):
        self.calls.append(address)
        await self.timers.sleep(0.5)
        return address in self.gone


class Recorder(CrashListener):
    def __init__(self):
        self.crashes = []
        self.responses = []

    def record_crash(self, digest, process):
        self.crashes.append((digest, process))

    def record_response(self, digest):
        self.responses.append(digest)


class Harness:
    def __init__(self):
        self.timers = ManualTimerService()
        self.timeline = Timeline('node', HybridClock(self.timers))
        self.registry = ReplicaRegistry(self.timers, self.timeline)
        self.probe = ScriptedProbe(self.timers)
        self.recorder = Recorder()
        self.detector = CrashDetector(
            self.registry, self.probe, self.timers, self.timeline
        )
        self.registry.replace([REPLICA], 0)

    async def run(self, digest, error=None):
        try:
            async with self.detector.watch(digest, REPLICA, self.recorder):
                if error is not None:
                    raise error
        except LadderError:
            return

    def count_broken(self, digest):
        return self.detector.count_broken(digest, self.recorder)

    async def settle(self, digest):
        await self.detector.settle(digest, self.recorder)

    def crash(self):
        self.probe.gone.add(REPLICA.address)

    @property
    def crashes(self):
        return self.recorder.crashes

    def read_events(self):
        events = self.timeline.read(HybridTime(), 99)
        return [one for one in events if one.kind == 'replica-crashed']


@pytest.fixture
async def harness():
    made = Harness()
    await made.detector.start()
    yield made
    await made.detector.close()


def lose():
    return TargetLostError('lost', remedy='read back')


async def test_refused_connection_shows_a_crash_under_all_its_requests(
    harness,
):
    harness.crash()
    await harness.run('a', lose())
    await harness.run('b', lose())
    await harness.timers.advance(1)
    assert sorted(harness.crashes) == [('a', 'r@5'), ('b', 'r@5')]
    event = harness.read_events()[0]
    assert event.subject == 'r'
    assert event.fields['evidence'] == 'refused'
    assert event.fields['contents'] == 'a,b'


async def test_run_without_a_listener_is_logged_and_tells_nobody(harness):
    """
    Guards against verdicts on requests by the crashes under tasks.

    A task may have the name that a request has as its digest.
    """
    harness.crash()
    with contextlib.suppress(TargetLostError):
        async with harness.detector.watch('a', REPLICA):
            raise lose()
    await harness.timers.advance(1)
    assert harness.read_events()[0].fields['contents'] == 'a'
    async with harness.detector.watch('a', REPLICA):
        await harness.timers.advance(1)
    assert not harness.crashes
    assert not harness.recorder.responses


async def test_many_broken_runs_cost_one_probe(harness):
    for number in range(50):
        await harness.run(str(number), lose())
    await harness.timers.advance(1)
    assert len(harness.probe.calls) == 1


async def test_run_that_breaks_after_the_crash_is_known_counts_too(harness):
    harness.crash()
    await harness.run('a', lose())
    await harness.timers.advance(1)
    await harness.run('b', lose())
    assert harness.crashes == [('a', 'r@5'), ('b', 'r@5')]


async def test_reset_connection_of_a_live_replica_is_no_crash(harness):
    await harness.run('a', lose())
    await harness.timers.advance(1)
    assert harness.count_broken('a') == 1
    await harness.timers.advance(8)
    assert not harness.count_broken('a')
    assert not harness.crashes


async def test_later_start_under_the_same_name_shows_a_crash(harness):
    await harness.run('a', TargetTimeoutError('silent', remedy='wait'))
    harness.registry.change([replace(REPLICA, started_at=9)], [])
    assert harness.crashes == [('a', 'r@5')]
    assert harness.read_events()[0].fields['evidence'] == 'restarted'


async def test_later_start_at_the_same_address_shows_a_crash(harness):
    """
    Guards against crashes that nobody counts.

    The next process has another name, and listens before the probe connects.
    """
    await harness.run('a', lose())
    await harness.timers.advance(1)
    harness.registry.change([replace(REPLICA, name='s', started_at=9)], [])
    assert harness.crashes == [('a', 'r@5')]
    assert harness.read_events()[0].fields['evidence'] == 'superseded'


async def test_run_that_breaks_after_the_restart_is_listed_counts(harness):
    harness.registry.change([replace(REPLICA, started_at=9)], [])
    await harness.run('a', lose())
    assert harness.crashes == [('a', 'r@5')]


async def test_response_shows_that_the_process_is_alive(harness):
    await harness.run('a', TargetTimeoutError('silent', remedy='wait'))
    await harness.run('b')
    assert not harness.count_broken('a')
    assert harness.recorder.responses == ['b']


async def test_leaving_replica_has_not_crashed(harness):
    harness.registry.change([replace(REPLICA, is_leaving=True)], [])
    harness.crash()
    await harness.run('a', lose())
    await harness.timers.advance(1)
    assert not harness.crashes
    assert not harness.probe.calls


async def test_replica_that_is_listed_as_leaving_after_the_break_is_no_crash(
    harness,
):
    await harness.run('a', lose())
    harness.registry.change([replace(REPLICA, is_leaving=True)], [])
    harness.registry.change([], ['r'])
    await harness.timers.advance(1)
    assert not harness.crashes


async def test_entry_that_was_removed_before_the_break_is_no_crash(harness):
    """Some replicas leave without saying so, and go on serving for a while."""
    harness.registry.change([], ['r'])
    harness.crash()
    await harness.run('a', lose())
    await harness.timers.advance(1)
    assert not harness.crashes


async def test_entry_that_lapses_after_the_connection_broke_shows_a_crash(
    harness,
):
    """A process that ends with its host refuses no connection."""
    await harness.run('a', lose())
    await harness.timers.advance(4)
    harness.registry.change([], ['r'])
    assert harness.crashes == [('a', 'r@5')]
    assert harness.read_events()[0].fields['evidence'] == 'lapsed'


async def test_entry_that_lapses_long_after_the_break_is_no_crash(harness):
    await harness.run('a', lose())
    await harness.timers.advance(9)
    harness.registry.change([], ['r'])
    assert not harness.crashes


async def test_silent_replica_that_is_removed_later_is_no_crash(harness):
    """A host without power, or behind a partition, answers no probe either."""
    await harness.run('a', TargetTimeoutError('silent', remedy='wait'))
    harness.registry.change([], ['r'])
    await harness.timers.advance(10)
    assert not harness.crashes


async def fall_silent(harness, name):
    """Let a replica fall silent under request a, and lapse."""
    replica = replace(REPLICA, name=name)
    harness.registry.change([replica], [])
    with contextlib.suppress(LadderError):
        async with harness.detector.watch('a', replica, harness.recorder):
            raise TargetTimeoutError('silent', remedy='wait')
    harness.registry.change([], [name])


async def test_second_silent_replica_that_lapses_shows_the_cause(harness):
    """Guards against a request that silences one replica after the other."""
    await fall_silent(harness, 'r1')
    assert not harness.crashes
    await fall_silent(harness, 'r2')
    await fall_silent(harness, 'r3')
    assert sorted(harness.recorder.crashes) == [
        ('a', 'r1@5'),
        ('a', 'r2@5'),
        ('a', 'r3@5'),
    ]


async def test_response_between_silent_replicas_clears_the_request(harness):
    await fall_silent(harness, 'r1')
    await harness.run('a')
    await fall_silent(harness, 'r2')
    assert not harness.recorder.crashes


async def test_silence_of_a_replica_that_stays_listed_is_no_end(harness):
    for _ in range(3):
        await harness.run('a', TargetTimeoutError('silent', remedy='wait'))
    assert not harness.recorder.crashes


@pytest.mark.parametrize('error', [lose(), None])
async def test_end_of_a_replica_under_no_request_is_nobodys_fault(
    harness, error
):
    await harness.run('a', error)
    await harness.timers.advance(10)
    harness.registry.change([replace(REPLICA, started_at=9)], [])
    assert not harness.crashes


@pytest.mark.parametrize(
    'error',
    [
        TargetFullError('full', remedy='wait'),
        RunFailedError('failed', remedy='repeat'),
    ],
)
async def test_response_of_any_kind_is_no_broken_run(harness, error):
    await harness.run('a', error)
    assert not harness.count_broken('a')


async def test_corrupt_response_is_no_crash(harness):
    harness.crash()
    await harness.run('a', AnswerCorruptError('cut', remedy='repeat'))
    await harness.timers.advance(10)
    assert not harness.crashes


async def test_settle_waits_for_the_probes_of_a_request(harness):
    harness.crash()
    await harness.run('a', lose())
    settled = asyncio.ensure_future(harness.settle('a'))
    await harness.settle('b')
    await harness.timers.advance(0.4)
    assert not settled.done()
    await harness.timers.advance(0.2)
    assert settled.done()
    assert harness.crashes == [('a', 'r@5')]


async def test_old_probe_says_nothing_about_later_runs(harness):
    """
    Guards against runs whose crash is lost.

    The list withdrew the first broken run while its probe was under way. The
    probe then ended the account of a later run at the same process.
    """
    await harness.run('a', lose())
    harness.registry.change([replace(REPLICA, is_leaving=True)], [])
    harness.registry.change([REPLICA], [])
    await harness.timers.advance(0.2)
    harness.crash()
    await harness.run('b', lose())
    await harness.timers.advance(1)
    assert harness.crashes == [('b', 'r@5')]


async def test_close_ends_every_probe(harness):
    """Also those of runs that the list has withdrawn meanwhile."""
    await harness.run('a', lose())
    harness.registry.change([replace(REPLICA, is_leaving=True)], [])
    before = asyncio.all_tasks()
    await harness.detector.close()
    assert len(asyncio.all_tasks() & before) == 1
