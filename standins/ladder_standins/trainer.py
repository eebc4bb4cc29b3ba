"""A trainer: opens steps, pulls their groups, moves on."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp
import msgspec

_CALL_SECONDS = 15
_RETRY_SECONDS = 0.2
_WAIT_SECONDS = 3
_OK_STATUSES = frozenset((200, 201))
_NOT_FOUND = 404


class Span(msgspec.Struct, frozen=True):
    """Tokens of one version."""

    version: int
    tokens: int


class PulledSample(msgspec.Struct, frozen=True):
    """A sample as a trainer sees it."""

    id: str  # noqa: WPS125 the field's name on the wire
    text: str
    score: float
    versions: tuple[Span, ...]


class PulledGroup(msgspec.Struct, frozen=True):
    """A group as a trainer sees it."""

    index: int
    samples: tuple[PulledSample, ...]


class Pulled(msgspec.Struct, frozen=True):
    """The answer to a pull."""

    groups: tuple[PulledGroup, ...]
    remaining: int


@dataclass(frozen=True, slots=True)
class StepRequest:
    """
    A step that a trainer opens.

    Attributes
    ----------
    step : int
        Number of the step.
    version : int
        Version that the trainer is at.
    model : str
        Model that generates.
    prompts : tuple of str
        One for each group.
    samples_per_group : int
        Samples of each prompt.
    max_tokens : int
        Largest number of tokens of a sample.

    """

    step: int
    version: int
    model: str
    prompts: tuple[str, ...]
    samples_per_group: int = 4
    max_tokens: int = 256


@dataclass(slots=True)
class StepReport:
    """
    What a trainer got in one step.

    Attributes
    ----------
    request : StepRequest
        What it asked.
    groups : dict of int to PulledGroup
        The groups it holds.
    arrivals : list of PulledGroup
        Every group that arrived, also those it held.
    doubled : int
        Groups that arrived although it held them.
    too_old : int
        Samples older than the bound when they arrived.
    seconds : float
        Time from the opening to the last group.

    """

    request: StepRequest
    groups: dict[int, PulledGroup] = field(default_factory=dict)
    arrivals: list[PulledGroup] = field(default_factory=list)
    doubled: int = 0
    too_old: int = 0
    seconds: float = 0

    @property
    def is_whole(self) -> bool:
        """Whether every group arrived."""
        return len(self.groups) == len(self.request.prompts)

    @property
    def held(self) -> str:
        """The bits of the groups it holds, hexadecimal."""
        return format(sum(1 << index for index in self.groups), 'x')

    def add(self, group: PulledGroup, bound: int) -> None:
        """Take a group and judge it."""
        self.arrivals.append(group)
        if group.index in self.groups:
            self.doubled += 1
            return
        self.groups[group.index] = group
        floor = self.request.version - bound
        self.too_old += sum(
            min(span.version for span in sample.versions) < floor
            for sample in group.samples
        )


class Trainer:
    """
    One trainer.

    Parameters
    ----------
    name : str
        Name of the trainer.
    secret : str
        Secret of its plan.
    addresses : sequence of str
        Entry hosts to try in turn.
    bound : int
        Staleness bound of its plan, for its own check.

    """

    def __init__(
        self,
        name: str,
        secret: str,
        addresses: Sequence[str],
        bound: int,
    ) -> None:
        self._name = name
        self._headers = {'authorization': f'Bearer {secret}'}
        self._addresses = list(addresses)
        self._bound = bound

    async def run_step(self, request: StepRequest) -> StepReport:
        """
        Open a step and pull until it is whole.

        Parameters
        ----------
        request : StepRequest
            The step.

        Returns
        -------
        StepReport
            What arrived.

        """
        report = StepReport(request)
        begin = time.monotonic()
        is_open = False
        while not report.is_whole:
            try:
                if not is_open:
                    await self._open(request)
                    is_open = True
                is_open = await self._pull(report)
            except (aiohttp.ClientError, TimeoutError):
                is_open = False
                self._addresses.append(self._addresses.pop(0))
                await asyncio.sleep(_RETRY_SECONDS)
        report.seconds = time.monotonic() - begin
        return report

    async def open_step(self, request: StepRequest) -> None:
        """
        Open a step without pulling from it.

        Raises
        ------
        ClientError
            The node does not answer, or not with success.

        """
        await self._open(request)

    async def close_step(self, step: int) -> None:
        """Tell the service that a step is done."""
        await self._send('DELETE', f'/{step}', None)

    async def _open(self, request: StepRequest) -> None:
        body = {
            'model': request.model,
            'prompts': request.prompts,
            'samples_per_group': request.samples_per_group,
            'max_tokens': request.max_tokens,
        }
        status, _ = await self._send('PUT', f'/{request.step}', body)
        if status not in _OK_STATUSES:
            raise aiohttp.ClientError(f'open answered {status}')

    async def _pull(self, report: StepReport) -> bool:
        """Pull once; return whether the step is still known there."""
        body = {
            'version': report.request.version,
            'held': report.held,
            'wait_seconds': _WAIT_SECONDS,
        }
        path = f'/{report.request.step}/pull'
        status, answer = await self._send('POST', path, body)
        if status == _NOT_FOUND:
            return False
        if status not in _OK_STATUSES:
            raise aiohttp.ClientError(f'pull answered {status}')
        for group in msgspec.json.decode(answer, type=Pulled).groups:
            report.add(group, self._bound)
        return True

    async def _send(
        self,
        method: str,
        path: str,
        message: object,
    ) -> tuple[int, bytes]:
        address = self._addresses[0]
        url = f'http://{address}/v1/trainers/{self._name}/steps{path}'
        timeout = aiohttp.ClientTimeout(_CALL_SECONDS)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method,
                url,
                data=msgspec.json.encode(message),
                headers=self._headers,
            ) as reply,
        ):
            return reply.status, await reply.read()
