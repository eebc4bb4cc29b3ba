"""Compare the execution that errors state with what the targets ran."""

import asyncio
from enum import StrEnum

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ladder_clients.engines import Chunk, HttpEngineClient
from ladder_clients.services import ServiceClient, ServiceRequest
from ladder_clients.transport import HttpClient
from ladder_core.errors import Execution, LadderError
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import HostEntry, HostKind
from ladder_node.dispatch import (
    Generation,
    GenerationDispatcher,
    ServiceDispatcher,
)
from ladder_node.entry.problems import make_problem
from ladder_node.targets import TargetTable
from ladder_policy.routing import RoundRobinChooser
from ladder_standins.scripted import ScriptedTarget, format_response

SHORT_LIMIT_SECONDS = 0.2
LONG_LIMIT_SECONDS = 20
WORDS: tuple[str, ...] = ('one ', 'two ', 'three ', 'four ')


class Manner(StrEnum):
    """How a scripted target treats a request."""

    answer = 'answer'
    close_before_reading = 'close-before-reading'
    run_and_close = 'run-and-close'
    half_answer = 'half-answer'
    no_end = 'no-end'
    late = 'late'
    crossed = 'crossed'
    own_refusal = 'own-refusal'
    lost_part = 'lost-part'
    malformed = 'malformed'
    silent = 'silent'
    refuse_connection = 'refuse-connection'


MANNERS = tuple(Manner)
HTTP_MANNERS = tuple(
    manner
    for manner in Manner
    if manner not in {Manner.lost_part, Manner.no_end}
)


def format_chunks(received, manner):
    request = msgspec.json.decode(received.body)
    name, words = request['request_id'], WORDS
    if manner is Manner.crossed:
        name = f'{name}-other'
        words = tuple(reversed(WORDS))
    start = request['prefix_tokens']
    chunks = [
        Chunk(name, word, 1, version=index)
        for index, word in enumerate(words)
        if index >= start
    ]
    if manner is Manner.lost_part:
        chunks = chunks[1:]
    if manner in {Manner.half_answer, Manner.no_end}:
        chunks = chunks[:2]
    else:
        chunks.append(Chunk(name, end=True, total_tokens=len(WORDS)))
    return b''.join(b'%b\n' % msgspec.json.encode(chunk) for chunk in chunks)


def format_generation(received, manner):
    body = format_chunks(received, manner)
    if manner is Manner.malformed:
        body = b'{"request_id": 7\n'
    length = len(body) + 9 * (manner is Manner.half_answer)
    return format_response(body, {'content-length': str(length)})


def format_call(received, manner):
    name = received.headers['x-request-id']
    if manner is Manner.crossed:
        name = 'another-request'
    fields = {'x-request-id': name}
    if manner is Manner.half_answer:
        fields['content-length'] = '90'
    if manner is Manner.malformed:
        return b'HTTP/1.1 junk\r\n\r\n'
    return format_response(received.body, fields)


def make_script(manner, format_response):
    async def script(received, writer):
        if received.path.startswith('/v1/state'):
            return
        if manner in {Manner.run_and_close, Manner.close_before_reading}:
            return
        if manner is Manner.own_refusal:
            writer.write(format_response(b'', {}, 503))
            await writer.drain()
            return
        if manner in {Manner.late, Manner.silent}:
            await asyncio.sleep(3 * SHORT_LIMIT_SECONDS)
        if manner is not Manner.silent:
            writer.write(format_response(received, manner))
            await writer.drain()

    return script


class DispatchHarness:
    """Scripted targets, one for each manner, and clients that reach them."""

    def __init__(self, kind, manners, format_response):
        self.targets = [
            ScriptedTarget(make_script(manner, format_response))
            for manner in manners
        ]
        self.manners = manners
        self.kind = kind
        # Only tests with targets that do not answer need a short limit.
        has_slow_targets = {Manner.silent, Manner.late} & set(manners)
        self.limit = (
            SHORT_LIMIT_SECONDS if has_slow_targets else LONG_LIMIT_SECONDS
        )
        self.http = HttpClient()
        timers = ManualTimerService()
        self.table = TargetTable(timers, Timeline('n', HybridClock(timers)))
        self.timers = timers

    async def __aenter__(self):
        await self.http.start()
        entries = []
        for index, target in enumerate(self.targets):
            await target.start()
            address = target.address
            entries.append(
                HostEntry(f't-{index}', self.kind, address, 'd', 'r', model='m')
            )
            if self.manners[index] is Manner.refuse_connection:
                await target.close()
        self.table.update_hosts(entries)
        return self

    async def __aexit__(self, *exception):
        for target in self.targets:
            await target.close()
        await self.http.close()

    @property
    def executions(self):
        """Number of complete requests, without state reads and cancels."""
        return sum(
            received.path in {'/v1/generate', '/claims'}
            for target in self.targets
            for received in target.received
        )

    async def call(self, method):
        dispatcher = ServiceDispatcher(
            self.table,
            ServiceClient(self.http),
        )
        request = ServiceRequest(
            'r-1',
            method,
            '/claims',
            b'7',
            timeout_seconds=self.limit,
        )
        response = await dispatcher.call('', request)
        if response.status == 200:
            assert response.body == b'7'
        return response

    async def generate(self, received):
        dispatcher = GenerationDispatcher(
            self.table,
            HttpEngineClient(self.http, self.limit),
            RoundRobinChooser(),
            self.timers,
        )
        wanted = Generation('m', ('',), (), 'prompt', len(WORDS))
        try:
            async for chunk in dispatcher.generate(wanted):
                received.append(chunk)
        finally:
            await dispatcher.close()


def check(error, executions):
    stated = make_problem(error).execution
    if stated is Execution.not_run:
        assert executions == 0
    if stated is Execution.ran:
        assert executions


@pytest.mark.parametrize('manner', HTTP_MANNERS)
async def test_call_error_is_true_of_each_manner(manner):
    harness = DispatchHarness(HostKind.service, [manner], format_call)
    async with harness:
        try:
            await harness.call('POST')
        except LadderError as error:
            check(error, harness.executions)
            assert manner is not Manner.answer
        assert harness.executions <= 1


@pytest.mark.parametrize('manner', MANNERS)
async def test_generation_error_is_true_of_each_manner(manner):
    received: list[Chunk] = []
    harness = DispatchHarness(HostKind.engine, [manner], format_generation)
    async with harness:
        try:
            await harness.generate(received)
        except LadderError as error:
            check(error, harness.executions)
            assert manner is not Manner.answer
            assert not received or not received[-1].end


@settings(derandomize=True, max_examples=40, deadline=None)
@given(
    manners=st.lists(st.sampled_from(HTTP_MANNERS), min_size=1, max_size=3),
    method=st.sampled_from(('POST', 'GET')),
)
async def test_call_errors_are_true_and_posts_run_once(manners, method):
    harness = DispatchHarness(HostKind.service, manners, format_call)
    async with harness:
        try:
            await harness.call(method)
        except LadderError as error:
            check(error, harness.executions)
        if method == 'POST':
            assert harness.executions <= 1


@settings(derandomize=True, max_examples=60, deadline=None)
@given(manners=st.lists(st.sampled_from(MANNERS), min_size=1, max_size=4))
async def test_generation_is_whole_or_its_error_is_true(manners):
    received: list[Chunk] = []
    harness = DispatchHarness(HostKind.engine, manners, format_generation)
    async with harness:
        try:
            await harness.generate(received)
        except LadderError as error:
            check(error, harness.executions)
            assert not any(chunk.end for chunk in received)
            return
    assert [chunk.end for chunk in received].count(True) == 1
    assert ''.join(chunk.text for chunk in received) == ''.join(WORDS)
    versions = [chunk.version for chunk in received if chunk.tokens]
    assert versions == list(range(len(WORDS)))
