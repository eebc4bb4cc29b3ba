"""Which requests count for the usage of their organisation."""

from dataclasses import replace

import pytest

from ladder_core.errors import LadderError
from ladder_core.timers import ManualTimerService
from ladder_core.values import Route, RouteKind, ServiceShare
from ladder_node.forwarding.tests.test_forwarder import (
    REGIONS,
    REQUEST,
    FakeResponse,
    ForwarderHarness,
    lose,
    refuse,
)
from ladder_node.usage import UsageCounter, WindowClock

ACME_REQUEST = replace(REQUEST, organisation='acme')


class UsageHarness(ForwarderHarness):
    def __init__(self, request=ACME_REQUEST):
        self.window_timers = ManualTimerService(1000.1)
        self.counter = UsageCounter(WindowClock(self.window_timers, 5))
        super().__init__(self.counter, request)

    @property
    def counted(self):
        return {
            window: counts.counts
            for window, counts in self.counter.list_unsaved(10_000).items()
        }


@pytest.fixture
def harness():
    return UsageHarness()


async def test_answered_request_counts(harness):
    await harness.forward()
    assert harness.counted == {200: {'acme': 1}}


async def test_request_without_an_organisation_does_not_count():
    """Scoring calls and public routes have none."""
    harness = UsageHarness(REQUEST)
    await harness.forward()
    assert not harness.counted


async def test_retry_after_a_run_that_may_have_begun_counts_once(harness):
    harness.replicas.scripts['leith'] = [lose()]
    harness.replicas.scripts['govan'] = [FakeResponse(500)]
    await harness.forward()
    assert len(harness.tried) == 3
    assert harness.counted == {200: {'acme': 1}}


async def test_request_that_no_replica_ran_does_not_count(harness):
    for centre in REGIONS:
        harness.replicas.scripts[centre] = [refuse() for _ in range(9)]
    with pytest.raises(LadderError):
        await harness.forward()
    assert harness.counted == {200: {'acme': 0}}


async def test_refused_request_counts_in_the_window_of_its_run(harness):
    """A refusal takes no window; the run elsewhere decides."""
    harness.replicas.scripts['leith'] = [refuse()]

    def step_on(replica):
        harness.window_timers._now += 5 if replica.name == 'leith' else 0

    harness.replicas.on_open = step_on
    await harness.forward()
    assert harness.counted == {200: {'acme': 0}, 201: {'acme': 1}}


async def test_attempt_that_the_caller_sends_again_counts_once(harness):
    await harness.forward()
    await harness.forward()
    assert harness.counted == {200: {'acme': 1}}


async def test_attempt_that_was_refused_counts_when_it_is_sent_again(harness):
    for centre in REGIONS:
        harness.replicas.scripts[centre] = [refuse() for _ in range(9)]
    with pytest.raises(LadderError):
        await harness.forward()
    harness.replicas.scripts.clear()
    harness.registry.replace(
        [
            replace(record.replica, name=f'{record.name}-2')
            for record in harness.registry.list_service('taproom')
        ],
        1,
    )
    await harness.forward()
    assert harness.counted == {200: {'acme': 1}}


async def test_stream_counts_when_it_begins(harness):
    route = Route(
        'kegs',
        'pub',
        '/kegs/',
        RouteKind.idempotent,
        (ServiceShare('taproom'),),
    )
    async with harness.forwarder.stream(route, ACME_REQUEST, 2):
        assert harness.counted == {200: {'acme': 1}}
