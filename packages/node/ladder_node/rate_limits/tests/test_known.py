import pytest

from ladder_clients.replicas import CallKind
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import Replica
from ladder_node.rate_limits import KnownLimits

REPLICA = Replica('r', 'app', '10.0.0.1:80', 'leith', 6, started_at=5)
LATER = Replica('r', 'app', '10.0.0.1:80', 'leith', 6, started_at=9)


class Harness:
    def __init__(self):
        self.timers = ManualTimerService()
        self.timeline = Timeline('node', HybridClock(self.timers))
        self.limits = KnownLimits(self.timers, self.timeline)

    def list_events(self):
        return [
            (event.kind, event.fields)
            for event in self.timeline.read(HybridTime(), 99)
        ]


@pytest.fixture
def harness():
    return Harness()


def test_changes_of_a_limit_are_logged_once(harness):
    for rate in (None, 2, 2, 3, None, None):
        harness.limits.record(REPLICA, rate)
    assert [
        (kind, fields['rate']) for kind, fields in harness.list_events()
    ] == [
        ('replica-limit-named', '2'),
        ('replica-limit-named', '3'),
        ('replica-limit-ended', '3'),
    ]


def test_limit_belongs_to_one_process(harness):
    harness.limits.record(REPLICA, 2)
    assert harness.limits.find(REPLICA).rate == 2
    assert harness.limits.find(LATER) is None


async def test_requests_under_a_limit_are_logged_by_kind(harness):
    harness.limits.count(REPLICA, CallKind.task)
    harness.limits.record(REPLICA, 2)
    for kind in (CallKind.task, CallKind.request, CallKind.task):
        harness.limits.count(REPLICA, kind)
    await harness.timers.advance(1)
    harness.limits.count(REPLICA, CallKind.report)
    kind, fields = harness.list_events()[-1]
    assert kind == 'replica-limit-used'
    assert (fields['tasks'], fields['requests'], fields['reports']) == (
        '2',
        '1',
        '1',
    )


def test_number_of_limits_is_bounded(harness):
    for number in range(1100):
        harness.limits.record(
            Replica(f'r{number}', 'app', '10.0.0.1:80', 'leith', 6), 1
        )
    assert harness.limits.find(Replica('r0', 'app', '', '', 6)) is None
    assert harness.limits.find(Replica('r1099', 'app', '', '', 6)).rate == 1
