import asyncio
import contextlib
from dataclasses import replace

import pytest

from ladder_clients.probes import TargetProbe
from ladder_clients.replicas import (
    CallerRequest,
    PermitDenial,
    ReplicaClient,
)
from ladder_core.errors import (
    AnswerCorruptError,
    AnswerEndlessError,
    DeadlineError,
    Execution,
    TargetFullError,
    TargetLimitedError,
    TargetLostError,
    TargetTimeoutError,
    TargetUnavailableError,
)
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import SystemTimerService
from ladder_core.values import Replica, Route, RouteKind, ServiceShare
from ladder_node.forwarding import (
    Forwarder,
    ForwarderParts,
    ReplicaSelector,
)
from ladder_node.forwarding.stream_binding import StreamBinding
from ladder_node.quarantine import CrashDetector, UnlimitedRuns
from ladder_node.replicas import ReplicaRegistry
from ladder_node.stream_origins import StreamOrigin, StreamOrigins

REQUEST = CallerRequest('r1', b'POST', b'/kegs/7', (), b'body')
REGIONS = {'leith': 'lowlands', 'govan': 'lowlands', 'inverness': 'highlands'}


class FakeResponse:
    def __init__(self, status=200, body=b'done'):
        self.status = status
        self.headers = ((b'signature', b'p'),)
        self._body = body

    async def read(self):
        return self._body


class FakeReplicas(ReplicaClient):
    """Replicas with scripted behaviour: a response, an error or a delay."""

    def __init__(self):
        self.scripts = {}
        self.rates = {}
        self.denials = {}
        self.on_open = None
        self.sent = []
        self.new_connections = []

    def count_idle(self, replica):
        return 0

    def find_rate(self, replica):
        return self.rates.get(replica.name)

    def find_denial(self, replica, priority):
        return self.denials.get(replica.name)

    def find_signature(self, response):
        return 'p'

    @contextlib.asynccontextmanager
    async def open(
        self, replica, request, timeout_seconds, *, needs_new_connection=False
    ):
        self.sent.append((replica.name, round(timeout_seconds, 1)))
        self.new_connections.append(needs_new_connection)
        if self.on_open is not None:
            self.on_open(replica)
        script = self.scripts.get(replica.name, [])
        step = script.pop(0) if script else FakeResponse()
        if isinstance(step, Exception):
            raise step
        if isinstance(step, float):
            await asyncio.sleep(step)
            step = FakeResponse()
        yield step

    def generate(self, replica, task):
        raise NotImplementedError

    async def order_version(self, replica, order):
        raise NotImplementedError

    async def read_state(self, replica):
        raise NotImplementedError


class LivingReplicas(TargetProbe):
    async def is_gone(self, address):
        return False


class ForwarderHarness:
    def __init__(self, usage=None, request=REQUEST):
        self.request = request
        self.timers = SystemTimerService()
        self.timeline = Timeline('node', HybridClock(self.timers))
        self.registry = ReplicaRegistry(self.timers, self.timeline)
        self.replicas = FakeReplicas()
        self.failures = 0
        detector = CrashDetector(
            self.registry, LivingReplicas(), self.timers, self.timeline
        )
        selector = ReplicaSelector(
            self.registry,
            self.replicas,
            'leith',
            REGIONS,
            self.timers,
        )
        self.forwarder = Forwarder(
            selector,
            self.replicas,
            UnlimitedRuns(detector),
            self.timers,
            self.timeline,
            ForwarderParts(usage=usage),
        )
        self.registry.replace(
            [
                Replica(centre, 'taproom', f'{centre}:1', centre, 6)
                for centre in REGIONS
            ],
            0,
        )

    async def forward(self, kind=RouteKind.idempotent, attempts=3, seconds=2):
        shares = (ServiceShare('taproom'),)
        route = Route(
            'kegs',
            'pub',
            '/kegs/',
            kind,
            shares,
            timeout_seconds=1.5,
            latency_objective_seconds=0.05,
            max_attempts=attempts,
        )
        return await self.forwarder.forward(
            route,
            self.request,
            seconds,
            self.count_failure,
        )

    def count_failure(self):
        self.failures += 1

    @property
    def tried(self):
        return [name for name, _ in self.replicas.sent]

    def read_end(self):
        events = self.timeline.read(HybridTime(), 99)
        return [one for one in events if one.kind == 'request-ended'][-1]


@pytest.fixture
def harness():
    return ForwarderHarness()


def refuse():
    return TargetFullError('full', remedy='wait')


def lose():
    return TargetLostError('lost', remedy='read back')


async def test_nearest_replica_answers(harness):
    response = await harness.forward()
    assert (response.status, response.body, response.signature) == (
        200,
        b'done',
        'p',
    )
    assert harness.tried == ['leith']


async def test_request_that_did_not_run_goes_elsewhere_whatever_its_kind(
    harness,
):
    harness.replicas.scripts['leith'] = [refuse()]
    response = await harness.forward(RouteKind.non_idempotent, attempts=1)
    assert response.status == 200
    assert harness.tried == ['leith', 'govan']


async def test_non_idempotent_request_that_may_have_run_is_not_repeated(
    harness,
):
    harness.replicas.scripts['leith'] = [lose()]
    with pytest.raises(TargetLostError) as caught:
        await harness.forward(RouteKind.non_idempotent)
    assert caught.value.execution is Execution.may_have_run
    assert harness.tried == ['leith']


async def test_request_that_may_run_once_goes_over_a_new_connection(harness):
    await harness.forward(RouteKind.non_idempotent)
    await harness.forward(RouteKind.idempotent)
    assert harness.replicas.new_connections == [True, False]


async def test_idempotent_request_goes_to_no_more_replicas_than_allowed(
    harness,
):
    for centre in REGIONS:
        harness.replicas.scripts[centre] = [lose()]
    with pytest.raises(TargetLostError):
        await harness.forward(attempts=2)
    assert len(harness.tried) == 2


async def test_response_to_another_request_is_not_handed_out(harness):
    error = AnswerCorruptError('another id', remedy='send again')
    harness.replicas.scripts['leith'] = [error]
    assert (await harness.forward()).status == 200
    assert harness.tried == ['leith', 'govan']


async def test_failed_response_is_returned_when_attempts_are_used_up(
    harness,
):
    for centre in REGIONS:
        harness.replicas.scripts[centre] = [FakeResponse(500, b'broken')]
    response = await harness.forward()
    assert (response.status, response.body) == (500, b'broken')
    assert harness.failures == 3


async def test_failed_runs_before_an_error_are_counted(harness):
    harness.replicas.scripts = {
        'leith': [FakeResponse(500)],
        'govan': [FakeResponse(504)],
        'inverness': [lose()],
    }
    with pytest.raises(TargetLostError):
        await harness.forward()
    assert harness.failures == 1


async def test_slow_replica_is_left_while_there_is_another(harness):
    harness.replicas.scripts['leith'] = [5.0]
    response = await harness.forward()
    assert response.replica == 'govan'


def find_limit(harness, objective):
    route = Route(
        'kegs',
        'pub',
        '/kegs/',
        RouteKind.idempotent,
        (ServiceShare('taproom'),),
        latency_objective_seconds=objective,
        max_attempts=3,
    )
    attempts = harness.forwarder._begin(route, REQUEST, 10)
    record = harness.registry.find('leith')
    return harness.forwarder._planner.find_limit(route, attempts, record)


def learn_durations(harness, seconds):
    for name in REGIONS:
        record = harness.registry.find(name)
        for number in range(30):
            sample = seconds * (0.9 + 0.2 * (number % 2))
            record.record_success(sample, harness.timers.now(), 'kegs')


async def test_attempt_ends_when_another_replica_would_have_answered(harness):
    """Guards against requests that wait for a replica that turned slow."""
    assert find_limit(harness, 1) == 2
    learn_durations(harness, 0.2)
    assert 0.4 <= find_limit(harness, 1) < 0.6
    # The objective stays the upper limit, for slow services.
    assert find_limit(harness, 0.15) == 0.4


async def test_attempts_are_not_cut_while_all_replicas_are_slow(harness):
    """Guards against repeated requests that make slow replicas slower."""
    learn_durations(harness, 0.2)
    for name in REGIONS:
        for _ in range(3):
            record = harness.registry.find(name)
            record.record_success(0.9, harness.timers.now(), 'kegs')
    assert find_limit(harness, 1) > 0.9


async def test_last_replica_gets_all_the_time_that_is_left(harness):
    harness.replicas.scripts['leith'] = [0.6]
    response = await harness.forward(attempts=1)
    assert response.replica == 'leith'


async def test_no_replica_is_a_refusal_with_a_time_to_retry_after(harness):
    harness.registry.replace([], 0)
    with pytest.raises(TargetUnavailableError) as caught:
        await harness.forward()
    assert caught.value.execution is Execution.not_run
    assert caught.value.retry_after


async def test_refusals_by_all_replicas_end_with_a_refusal(harness):
    for centre in REGIONS:
        harness.replicas.scripts[centre] = [refuse() for _ in range(9)]
    with pytest.raises(TargetUnavailableError) as caught:
        await harness.forward()
    assert caught.value.execution is Execution.not_run


async def test_refusal_by_a_replica_that_ran_the_request_hides_no_run(harness):
    """
    Guards against a false promise that a request has not run.

    A replica lost the connection while it ran the request. It was tried again
    when the others were full, refused then, and was forgotten as one that may
    have run the request, so the caller got a 503 for a request that had run.
    """
    harness.replicas.scripts['leith'] = [lose()]
    for centre in REGIONS:
        script = harness.replicas.scripts.setdefault(centre, [])
        script.extend(refuse() for _ in range(9))
    with pytest.raises(TargetTimeoutError) as caught:
        await harness.forward()
    assert caught.value.execution is Execution.may_have_run


async def test_deadline_after_a_send_promises_nothing(harness):
    harness.replicas.scripts['leith'] = [5.0]
    with pytest.raises(DeadlineError) as caught:
        await harness.forward(RouteKind.non_idempotent, seconds=0.2)
    assert caught.value.execution is Execution.may_have_run


async def test_replicas_are_given_no_more_than_the_time_that_is_left(harness):
    harness.replicas.scripts['leith'] = [lose()]
    await harness.forward(seconds=30)
    assert all(seconds <= 1.5 for _, seconds in harness.replicas.sent)


async def test_end_event_names_the_replicas_of_a_request(harness):
    harness.replicas.scripts['leith'] = [refuse()]
    harness.replicas.scripts['govan'] = [
        TargetTimeoutError('silent', remedy='read back'),
    ]
    await harness.forward()
    fields = harness.read_end().fields
    assert fields['refused_by'] == 'leith'
    assert fields['sent_to'] == 'govan,inverness'
    assert fields['outcome'] == '200'


async def test_unreachable_replica_is_blocked_for_a_while(harness):
    error = TargetUnavailableError('no connection', remedy='wait')
    harness.replicas.scripts['leith'] = [error]
    await harness.forward()
    await harness.forward()
    assert harness.tried == ['leith', 'govan', 'govan']


async def test_replica_whose_answer_has_no_end_is_rested(harness):
    error = AnswerEndlessError('over the limit', remedy='send elsewhere')
    harness.replicas.scripts['leith'] = [error]
    await harness.forward()
    await harness.forward()
    assert harness.tried == ['leith', 'govan', 'govan']


async def test_request_goes_to_a_replica_that_permits_it(harness):
    for name in ('leith', 'govan'):
        harness.replicas.denials[name] = PermitDenial(1, 2)
    await harness.forward()
    assert harness.tried == ['inverness']


async def test_replica_without_a_limit_is_preferred(harness):
    harness.replicas.rates['leith'] = 1
    await harness.forward()
    assert harness.tried == ['govan']


async def test_request_that_no_replica_permits_is_refused_at_once(harness):
    for name, seconds in (('leith', 3), ('govan', 2), ('inverness', 4)):
        harness.replicas.denials[name] = PermitDenial(1, seconds)
    with pytest.raises(TargetLimitedError) as refused:
        async with asyncio.timeout(0.1):
            await harness.forward()
    assert refused.value.retry_after == 2
    assert refused.value.execution is Execution.not_run
    assert not harness.tried


async def test_denied_permit_is_no_failure_of_the_replica(harness):
    harness.replicas.scripts['leith'] = [
        TargetLimitedError('no permit', remedy='wait') for _ in range(9)
    ]
    for _ in range(9):
        await harness.forward()
    assert harness.registry.find('leith').is_healthy(harness.timers.now())


class KnownOrigins(StreamOrigins):
    """Knows where each stream began."""

    def __init__(self, origin):
        self.origin = origin
        self.told = []
        self.ended = []

    async def find(self, attempt):
        return self.origin

    def tell(self, attempt, origin):
        self.told.append((attempt, origin))

    def end(self, attempt):
        self.ended.append(attempt)


async def resume(harness, origin):
    harness.forwarder._binding = StreamBinding(KnownOrigins(origin))
    request = replace(REQUEST, last_event=3, first_attempt='r0')
    route = Route(
        'texts',
        'pub',
        '/',
        RouteKind.streaming,
        (ServiceShare('taproom'),),
        is_resumable=True,
    )
    async with harness.forwarder.stream(route, request, 1) as response:
        return response.status


def list_software(harness, **versions):
    harness.registry.change(
        [
            replace(
                harness.registry.find(name).replica, software_version=version
            )
            for name, version in versions.items()
        ],
        [],
    )


async def test_resumed_stream_goes_on_at_its_software(harness):
    list_software(harness, leith='v1', govan='v1', inverness='v2')
    assert await resume(harness, StreamOrigin('taproom', 'v2')) == 200
    assert harness.tried == ['inverness']
    assert not harness.forwarder._binding._origins.told


@pytest.mark.parametrize(
    'origin',
    [None, StreamOrigin('taproom', 'v2'), StreamOrigin('other', 'v1')],
    ids=['unknown', 'not-listed', 'route-has-left'],
)
async def test_resumed_stream_is_refused_at_once(harness, origin):
    """Guards against streams that go on where they may not."""
    list_software(harness, leith='v1', govan='v1', inverness='v1')
    other = Replica('o', 'other', 'o:1', 'leith', 6, software_version='v1')
    harness.registry.change([other], [])
    with pytest.raises(TargetUnavailableError):
        async with asyncio.timeout(0.1):
            await resume(harness, origin)
    assert not harness.tried


async def test_failed_response_is_delivered_if_no_other_permits_a_run(harness):
    """Guards against a response that is replaced by an error of this node."""
    harness.replicas.scripts['leith'] = [FakeResponse(500, b'failed')]

    def deny_others(replica):
        if replica.name == 'leith':
            return
        for name in ('leith', 'govan', 'inverness'):
            harness.replicas.denials[name] = PermitDenial(1, 2)
        raise TargetLimitedError('no permit', remedy='wait')

    harness.replicas.on_open = deny_others
    response = await harness.forward()
    assert (response.status, response.body) == (500, b'failed')
