"""Trainers of a run and logs of their steps."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp

from bench.deployments import MODEL
from bench.experiment import TrainerSettings
from bench.plans import make_secret
from bench.version_publisher import VersionPublisher
from ladder_standins.trainer import StepReport, StepRequest, Trainer

_MAX_TOKENS = 65_536


@dataclass(frozen=True, slots=True)
class DeliveredSample:
    """
    Length and staleness of a sample at its delivery.

    Attributes
    ----------
    tokens : int
        Length of the sample in tokens.
    stale_versions : int
        Number of versions by which its oldest span is behind the trainer.
    stale_seconds : float
        Real seconds between the publications of these two versions.

    """

    tokens: int
    stale_versions: int
    stale_seconds: float


@dataclass(slots=True)
class TrainerLog:
    """
    Log of one trainer, with times in real seconds.

    Attributes
    ----------
    trainer : TrainerSettings
        Settings of the trainer.
    step_seconds : list of float
        Time from the opening to the last group, for each step.
    idle_seconds : float
        Time for which the trainer waited for the samples of a step.
    wall_seconds : float
        Time from the start of the first step until the end of the training
        on the latest complete step.
    steps : list of list of DeliveredSample
        Samples of each complete step.
    doubled, too_old : int
        Number of groups that arrived more than once, and of samples over
        the staleness bound.

    """

    trainer: TrainerSettings
    step_seconds: list[float] = field(default_factory=list)
    idle_seconds: float = 0
    wall_seconds: float = 0
    steps: list[list[DeliveredSample]] = field(default_factory=list)
    doubled: int = 0
    too_old: int = 0

    @property
    def samples(self) -> list[DeliveredSample]:
        """Samples of all complete steps."""
        return [sample for step in self.steps for sample in step]

    @property
    def lost(self) -> int:
        """Number of samples of the steps that were not completed."""
        trainer = self.trainer
        size = trainer.groups * trainer.samples_per_group
        return trainer.steps * size - len(self.samples)


class BenchTrainer:
    """
    Run the steps of one trainer and log them.

    Parameters
    ----------
    settings : TrainerSettings
        Settings of the trainer.
    addresses : sequence of str
        Addresses of the entry hosts, in the order in which they are tried.
    version_publisher : VersionPublisher
        Publishes the versions of the trainer and knows the newest one.
    seed : int
        Seed of the run, which is a part of the prompts.
    speed : float
        Scaled seconds in one real second.

    """

    def __init__(
        self,
        settings: TrainerSettings,
        addresses: Sequence[str],
        version_publisher: VersionPublisher,
        seed: int,
        speed: float,
    ) -> None:
        self._settings = settings
        self._trainer = Trainer(
            settings.name,
            make_secret(settings.name),
            addresses,
            settings.bound,
        )
        self._version_publisher = version_publisher
        self._seed = seed
        self._train_seconds = settings.train_seconds / speed
        self._log = TrainerLog(settings)

    @property
    def log(self) -> TrainerLog:
        """Log of the steps until now."""
        return self._log

    @property
    def is_background(self) -> bool:
        """Whether the trainer is left out of the measures."""
        return self._settings.is_background

    async def run(self) -> None:
        """Run all steps and train after each of them."""
        started_at = time.monotonic()
        opened_at = time.monotonic()
        for step in range(self._settings.steps):
            waiting_since = time.monotonic()
            report = await self._trainer.run_step(self._make_request(step))
            now = time.monotonic()
            self._log.idle_seconds += now - waiting_since
            self._log.step_seconds.append(now - opened_at)
            self._record_report(report)
            opened_at = await self._train(step)
            self._log.wall_seconds = time.monotonic() - started_at

    async def _train(self, step: int) -> float:
        """Train on a step; return the time at which the next one was opened."""
        opened_at = time.monotonic()
        is_ahead = (
            self._settings.opens_ahead and step + 1 < self._settings.steps
        )
        if is_ahead:
            await self._open_ahead(step + 1)
        await asyncio.sleep(self._train_seconds)
        if self._settings.publishes:
            await self._version_publisher.publish()
        await self._close(step)
        return opened_at if is_ahead else time.monotonic()

    async def _open_ahead(self, step: int) -> None:
        try:
            await self._trainer.open_step(self._make_request(step))
        except (aiohttp.ClientError, TimeoutError):
            # The first pull opens the step again.
            return

    async def _close(self, step: int) -> None:
        try:
            await self._trainer.close_step(step)
        except (aiohttp.ClientError, TimeoutError):
            # A step that stays open only uses memory of its node.
            return

    def _make_request(self, step: int) -> StepRequest:
        lengths = self._settings.lengths
        length_marker = (
            f'[draw={lengths.median_tokens}:{lengths.sigma}:'
            f'{lengths.long_share}:{lengths.long_times}]'
        )
        name = f'{self._settings.name} seed {self._seed} step {step}'
        return StepRequest(
            step=step,
            version=self._version_publisher.newest,
            model=MODEL,
            prompts=tuple(
                f'{length_marker} note on line {group} of {name}'
                for group in range(self._settings.groups)
            ),
            samples_per_group=self._settings.samples_per_group,
            max_tokens=_MAX_TOKENS,
        )

    def _record_report(self, report: StepReport) -> None:
        self._log.doubled += report.doubled
        self._log.too_old += report.too_old
        version = report.request.version
        delivered = []
        for group in report.groups.values():
            for sample in group.samples:
                oldest = min(span.version for span in sample.versions)
                # A sample may be newer than the trainer, because an engine can
                # swap to a version before the trainer uses it.
                stale_versions = max(0, version - oldest)
                stale_seconds = (
                    self._version_publisher.find_publication_gap_seconds(
                        version - stale_versions, version
                    )
                )
                tokens = sum(span.tokens for span in sample.versions)
                delivered.append(
                    DeliveredSample(tokens, stale_versions, stale_seconds)
                )
        self._log.steps.append(delivered)
