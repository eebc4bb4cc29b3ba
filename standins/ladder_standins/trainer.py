"""Stand-in for a trainer, which opens steps and pulls their groups."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import aiohttp
import msgspec

_CALL_TIMEOUT_SECONDS = 15
_RETRY_DELAY_SECONDS = 0.2
_LONG_POLL_SECONDS = 3
_SUCCESS_STATUSES = frozenset((200, 201))
_NOT_FOUND_STATUS = 404
_TEMPORARY_REDIRECT_STATUS = 307
_UNREACHABLE_HEADER = 'x-ladder-unreachable'


class Span(msgspec.Struct, frozen=True):
    """Number of tokens of a sample that one weight version generated."""

    version: int
    tokens: int


class PulledSample(msgspec.Struct, frozen=True):
    """Sample as the trainer receives it."""

    id: str  # noqa: WPS125 name of the field in JSON
    text: str
    score: float
    versions: tuple[Span, ...]


class PulledGroup(msgspec.Struct, frozen=True):
    """Group as the trainer receives it."""

    index: int
    samples: tuple[PulledSample, ...]


class PulledFailure(msgspec.Struct, frozen=True):
    """Group that the nodes have given up generating."""

    index: int


class PullResponse(msgspec.Struct, frozen=True):
    """Response to a pull."""

    groups: tuple[PulledGroup, ...]
    remaining: int
    failures: tuple[PulledFailure, ...] = ()


@dataclass(frozen=True, slots=True)
class StepRequest:
    """
    Step that a trainer opens.

    Attributes
    ----------
    step : int
        Number of the step, which increases from step to step.
    version : int
        Weight version that the trainer has reached.
    model : str
        Model that generates the samples.
    prompts : tuple of str
        Prompts of the groups, one for each.
    samples_per_group : int
        Number of samples to generate for each prompt.
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
    What a trainer received in one step.

    Attributes
    ----------
    request : StepRequest
        Step that the trainer asked for.
    groups : dict of int to PulledGroup
        Groups that the trainer holds, by index.
    arrivals : list of PulledGroup
        All groups that arrived, with repeated ones, in order.
    failed : set of int
        Indices of the groups that the nodes have given up generating.
    doubled : int
        Number of groups that arrived although the trainer held them.
    too_old : int
        Number of samples that exceeded the staleness bound on arrival.
    seconds : float
        Time from the opening of the step until its last group.

    """

    request: StepRequest
    groups: dict[int, PulledGroup] = field(default_factory=dict)
    arrivals: list[PulledGroup] = field(default_factory=list)
    failed: set[int] = field(default_factory=set)
    doubled: int = 0
    too_old: int = 0
    seconds: float = 0

    @property
    def has_all_groups(self) -> bool:
        """Whether every group arrived."""
        return len(self.groups) == len(self.request.prompts)

    @property
    def is_finished(self) -> bool:
        """Whether no further group will arrive."""
        done = len(self.groups) + len(self.failed)
        return done == len(self.request.prompts)

    @property
    def held(self) -> str:
        """Bit mask of the indices of the groups held, in hexadecimal."""
        return format(sum(1 << index for index in self.groups), 'x')

    def add_group(self, group: PulledGroup, bound: int) -> None:
        """
        Add a group that arrived and check it.

        Parameters
        ----------
        group : PulledGroup
            Group to add; it counts as doubled if the trainer holds it.
        bound : int
            Largest number of versions that a sample may be behind the version
            of the trainer.

        """
        self.arrivals.append(group)
        if group.index in self.groups:
            self.doubled += 1
            return
        self.groups[group.index] = group
        oldest_allowed = self.request.version - bound
        self.too_old += sum(
            min(span.version for span in sample.versions) < oldest_allowed
            for sample in group.samples
        )


class Trainer:
    """
    Trainer that runs steps at a list of entry hosts.

    Parameters
    ----------
    name : str
        Name of the trainer in its plan and in the paths of its steps.
    secret : str
        Secret of the plan, sent with each request.
    addresses : sequence of str
        Addresses of entry hosts. The next one is tried after each failure.
    bound : int
        Staleness bound of the plan in versions, to check what arrives.
    call_timeout_seconds : float, optional
        Time-out of one call, after which the next entry host is tried.

    """

    def __init__(
        self,
        name: str,
        secret: str,
        addresses: Sequence[str],
        bound: int,
        call_timeout_seconds: float = _CALL_TIMEOUT_SECONDS,
    ) -> None:
        self._name = name
        self._headers = {'authorization': f'Bearer {secret}'}
        self._addresses = list(addresses)
        self._bound = bound
        self._unreachable_address = ''
        self._call_timeout_seconds = call_timeout_seconds

    async def run_step(self, request: StepRequest) -> StepReport:
        """
        Open a step and pull until each group has arrived or failed.

        The step is opened again after a failed call, and when the node does
        not know it.

        Parameters
        ----------
        request : StepRequest
            Step to open.

        Returns
        -------
        StepReport
            Groups that arrived, and the result of the checks.

        """
        report = StepReport(request)
        started_at = time.monotonic()
        is_open = False
        while not report.is_finished:
            try:
                if not is_open:
                    await self._open(request)
                    is_open = True
                is_open = await self._pull(report)
            except (aiohttp.ClientError, TimeoutError):
                is_open = False
                self._rotate_address()
                await asyncio.sleep(_RETRY_DELAY_SECONDS)
        report.seconds = time.monotonic() - started_at
        return report

    async def open_step(self, request: StepRequest) -> None:
        """
        Open a step without pulling from it.

        Raises
        ------
        ClientError
            If the node does not answer or does not open the step.

        """
        await self._open(request)

    async def close_step(self, step: int) -> None:
        """
        Close a step at the first entry host that answers.

        Each entry host is tried once, so the step stays open if none answers.
        """
        for _ in tuple(self._addresses):
            try:
                await self._send('DELETE', f'/{step}', None)
            except (aiohttp.ClientError, TimeoutError):
                self._rotate_address()
            else:
                return

    async def _open(self, request: StepRequest) -> None:
        body = {
            'model': request.model,
            'prompts': request.prompts,
            'samples_per_group': request.samples_per_group,
            'max_tokens': request.max_tokens,
        }
        status, _ = await self._send('PUT', f'/{request.step}', body)
        if status not in _SUCCESS_STATUSES:
            raise aiohttp.ClientError(f'opening the step got status {status}')

    async def _pull(self, report: StepReport) -> bool:
        """Pull once; return whether the node still knows the step."""
        body = {
            'version': report.request.version,
            'held': report.held,
            'wait_seconds': _LONG_POLL_SECONDS,
        }
        path = f'/{report.request.step}/pull'
        status, response_body = await self._send('POST', path, body)
        if status == _NOT_FOUND_STATUS:
            return False
        if status not in _SUCCESS_STATUSES:
            raise aiohttp.ClientError(f'pulling groups got status {status}')
        pulled = msgspec.json.decode(response_body, type=PullResponse)
        for group in pulled.groups:
            report.add_group(group, self._bound)
        report.failed.update(failure.index for failure in pulled.failures)
        return True

    async def _send(
        self,
        method: str,
        path: str,
        message: object,
    ) -> tuple[int, bytes]:
        """Send a request and follow one redirect to another node."""
        status, response_body, location = await self._exchange(
            method, path, message
        )
        if status == _TEMPORARY_REDIRECT_STATUS:
            self._prefer_address(urlsplit(location).netloc)
            status, response_body, _ = await self._exchange(
                method, path, message
            )
        return status, response_body

    async def _exchange(
        self,
        method: str,
        path: str,
        message: object,
    ) -> tuple[int, bytes, str]:
        address = self._addresses[0]
        url = f'http://{address}/v1/trainers/{self._name}/steps{path}'
        timeout = aiohttp.ClientTimeout(self._call_timeout_seconds)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method,
                url,
                data=msgspec.json.encode(message),
                headers={
                    **self._headers,
                    _UNREACHABLE_HEADER: self._unreachable_address,
                },
                allow_redirects=False,
            ) as response,
        ):
            location = response.headers.get('location', '')
            return response.status, await response.read(), location

    def _rotate_address(self) -> None:
        """
        Move the current address to the end of the list.

        Later requests report it in a header as unreachable.
        """
        self._unreachable_address = self._addresses.pop(0)
        self._addresses.append(self._unreachable_address)

    def _prefer_address(self, address: str) -> None:
        if address in self._addresses:
            self._addresses.remove(address)
        self._addresses.insert(0, address)
