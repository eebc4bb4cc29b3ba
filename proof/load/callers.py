"""Callers that send requests and record the outcome of each attempt."""

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
_ATTEMPT_INTERVAL_SECONDS = 0.1
_MAX_ATTEMPTS = 4
_MAX_TOKENS = 64
_OK_STATUS = 200
_END_OF_STREAM = b'data: [DONE]\n\n'


class _ProblemDetails(msgspec.Struct, frozen=True):
    """Field of an error response that says whether the request ran."""

    execution: str


class _Choice(msgspec.Struct, frozen=True):
    """Text of a completion, or of one event of a streamed completion."""

    text: str


class _Completion(msgspec.Struct, frozen=True):
    """Completion, or one event of a streamed completion."""

    choices: tuple[_Choice, ...]


@dataclass(frozen=True, slots=True)
class _ExchangeResult:
    """Outcome of an exchange and the text that it returned."""

    outcome: Outcome
    text: str = ''


class Caller(ABC):
    """
    Send operations one after another, each until its outcome is final.

    Parameters
    ----------
    name : str
        Name of the caller, which is a part of the names of its operations.
    nodes : sequence of Node
        All entry hosts; the caller asks them which of them to use.
    secret : str
        Secret of the plan that the requests are sent under.
    history : History
        Receives the attempts.

    """

    def __init__(
        self,
        name: str,
        nodes: Sequence[Node],
        secret: str,
        history: History,
    ) -> None:
        self._name = name
        self._entry_hosts = EntryHostCache(nodes)
        self._headers = {'authorization': f'Bearer {secret}'}
        self._history = history

    async def run(self, until: float) -> None:
        """
        Send operations until the given time.

        Parameters
        ----------
        until : float
            Time in seconds of the monotonic clock; no operation begins
            after it.

        """
        number = 0
        while time.monotonic() < until:
            number += 1
            await self._run_operation(self._make_subject(number))
            await asyncio.sleep(_ATTEMPT_INTERVAL_SECONDS)

    async def _run_operation(self, subject: str) -> None:
        for _ in range(_MAX_ATTEMPTS):
            outcome = await self._attempt(subject)
            if outcome is Outcome.answered or outcome is Outcome.ran:
                return
            await asyncio.sleep(_ATTEMPT_INTERVAL_SECONDS)

    async def _attempt(self, subject: str) -> Outcome:
        node = await self._entry_hosts.find_current()
        begin = time.monotonic()
        timeout = aiohttp.ClientTimeout(_REQUEST_TIMEOUT_SECONDS)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                result = await self._exchange(session, node, subject)
        except aiohttp.ClientConnectorError:
            result = _ExchangeResult(Outcome.not_run)
        except (aiohttp.ClientError, TimeoutError):
            result = _ExchangeResult(Outcome.unknown)
        if result.outcome is not Outcome.answered:
            self._entry_hosts.use_next()
        self._history.attempts.append(
            Attempt(
                subject,
                node.name,
                begin,
                time.monotonic(),
                result.outcome,
                result.text,
                self._make_expected_text(subject),
            ),
        )
        return result.outcome

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
        """Send one attempt and return its outcome."""

    @abstractmethod
    def _make_expected_text(self, subject: str) -> str:
        """Return the text that the response must have, empty if any will do."""


class ClaimCaller(Caller):
    """Caller of a service whose operations must run at most once."""

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
        ) as response:
            body = await response.read()
        if response.status != _OK_STATUS:
            return _parse_problem(body)
        return _ExchangeResult(Outcome.answered)

    def _make_expected_text(self, subject: str) -> str:
        return ''


class CompletionCaller(Caller):
    """Caller of streamed completions that knows the expected text of each."""

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
        ) as response:
            body = await response.read()
        if response.status != _OK_STATUS:
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
