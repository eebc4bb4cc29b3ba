"""Callers that send requests and record how each attempt ended."""

import asyncio
import time
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp
import msgspec

from ladder_standins.engine.text import draw_length, make_token
from proof.checkers.executions import CLAIM_PREFIX
from proof.history import Attempt, History, Outcome
from proof.load.entry_hosts import EntryHostCache, Node

_REQUEST_TIMEOUT_SECONDS = 20
_PAUSE_BETWEEN_ATTEMPTS_SECONDS = 0.1
_MAX_ATTEMPTS = 4
_MAX_TOKENS = 64
_OK = 200
_END_OF_STREAM = b'data: [DONE]\n\n'


class _ProblemDetails(msgspec.Struct, frozen=True):
    """The part of problem details that a caller acts on."""

    execution: str


class _Choice(msgspec.Struct, frozen=True):
    """A text or a part of it."""

    text: str


class _Completion(msgspec.Struct, frozen=True):
    """A completion or a part of it."""

    choices: tuple[_Choice, ...]


@dataclass(frozen=True, slots=True)
class _ExchangeResult:
    """How an exchange ended and what text it brought."""

    outcome: Outcome
    text: str = ''


class Caller(ABC):
    """
    Send operations one after another, each until it is decided.

    Parameters
    ----------
    name : str
        Name of the caller, part of its operations' names.
    nodes : sequence of Node
        All entry hosts; which to use is asked of them.
    secret : str
        The plan's secret.
    history : History
        Takes the attempts.

    """

    def __init__(
        self,
        name: str,
        nodes: Sequence[Node],
        secret: str,
        history: History,
    ) -> None:
        self._name = name
        self._addresses = EntryHostCache(nodes)
        self._headers = {'authorization': f'Bearer {secret}'}
        self._history = history

    async def run(self, until: float) -> None:
        """
        Send operations until a time.

        Parameters
        ----------
        until : float
            Seconds on the monotonic clock.

        """
        number = 0
        while time.monotonic() < until:
            number += 1
            await self._run_operation(self._make_subject(number))
            await asyncio.sleep(_PAUSE_BETWEEN_ATTEMPTS_SECONDS)

    async def _run_operation(self, subject: str) -> None:
        for _ in range(_MAX_ATTEMPTS):
            outcome = await self._attempt(subject)
            if outcome is Outcome.answered or outcome is Outcome.ran:
                return
            await asyncio.sleep(_PAUSE_BETWEEN_ATTEMPTS_SECONDS)

    async def _attempt(self, subject: str) -> Outcome:
        node = await self._addresses.find_current()
        begin = time.monotonic()
        timeout = aiohttp.ClientTimeout(_REQUEST_TIMEOUT_SECONDS)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                end = await self._exchange(session, node, subject)
        except aiohttp.ClientConnectorError:
            end = _ExchangeResult(Outcome.not_run)
        except (aiohttp.ClientError, TimeoutError):
            end = _ExchangeResult(Outcome.unknown)
        if end.outcome is not Outcome.answered:
            self._addresses.use_next()
        self._history.attempts.append(
            Attempt(
                subject,
                node.name,
                begin,
                time.monotonic(),
                end.outcome,
                end.text,
                self._make_expected_text(subject),
            ),
        )
        return end.outcome

    @abstractmethod
    def _make_subject(self, number: int) -> str:
        """Return the name of an operation, which its target records."""

    @abstractmethod
    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        node: Node,
        subject: str,
    ) -> _ExchangeResult:
        """Send one attempt and return how it ended."""

    @abstractmethod
    def _make_expected_text(self, subject: str) -> str:
        """Return the text that an answer must have, or an empty text."""


class ClaimCaller(Caller):
    """Sends claims to a plain service, which may run at most once."""

    def _make_subject(self, number: int) -> str:
        return f'{CLAIM_PREFIX}{self._name}-{number}'

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        node: Node,
        subject: str,
    ) -> _ExchangeResult:
        async with session.post(
            f'http://{node.address}/v1/services/taproom/claims',
            data=subject.encode(),
            headers={**self._headers, 'idempotency-key': subject},
        ) as reply:
            body = await reply.read()
        if reply.status != _OK:
            return _parse_problem(body)
        return _ExchangeResult(Outcome.answered)

    def _make_expected_text(self, subject: str) -> str:
        return ''


class CompletionCaller(Caller):
    """Streams completions and checks that each is whole and its own."""

    def _make_subject(self, number: int) -> str:
        return f'question {number} of {self._name}'

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        node: Node,
        subject: str,
    ) -> _ExchangeResult:
        async with session.post(
            f'http://{node.address}/v1/completions',
            json={
                'model': 'cask',
                'prompt': subject,
                'max_tokens': _MAX_TOKENS,
                'stream': True,
            },
            headers=self._headers,
        ) as reply:
            body = await reply.read()
        if reply.status != _OK:
            return _parse_problem(body)
        return _parse_event_stream(body)

    def _make_expected_text(self, subject: str) -> str:
        length = draw_length(subject, 0, _MAX_TOKENS)
        tokens = [make_token(subject, 0, index) for index in range(length)]
        return ''.join(tokens)


def _parse_problem(body: bytes) -> _ExchangeResult:
    try:
        problem = msgspec.json.decode(body, type=_ProblemDetails)
    except msgspec.DecodeError:
        return _ExchangeResult(Outcome.unknown)
    return _ExchangeResult(Outcome(problem.execution))


def _parse_event_stream(body: bytes) -> _ExchangeResult:
    if not body.endswith(_END_OF_STREAM):
        return _ExchangeResult(Outcome.may_have_run)
    lines = body.removesuffix(_END_OF_STREAM).splitlines()
    texts = [
        msgspec.json.decode(
            line.removeprefix(b'data: '),
            type=_Completion,
        )
        .choices[0]
        .text
        for line in lines
        if line
    ]
    return _ExchangeResult(Outcome.answered, ''.join(texts))
