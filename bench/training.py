"""Trainers of a run and what they saw."""

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
    One sample as it was handed over.

    Attributes
    ----------
    tokens : int
        Its length.
    stale_versions : int
        Versions between its oldest span and the trainer.
    stale_seconds : float
        Seconds between the publications of these two versions.

    """

    tokens: int
    stale_versions: int
    stale_seconds: float


@dataclass(slots=True)
class TrainerLog:
    """
    What one trainer saw; times are seconds of the machine.

    Attributes
    ----------
    trainer : TrainerSettings
        The trainer.
    step_seconds : list of float
        Time from opening to the last group, of each step.
    idle_seconds : float
        Time without a whole step to train on.
    wall_seconds : float
        Time of all steps.
    steps : list of list of DeliveredSample
        Samples of each whole step.
    doubled, too_old : int
        Groups that came twice; samples over the bound.

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
        """The samples of all steps."""
        return [sample for step in self.steps for sample in step]

    @property
    def lost(self) -> int:
        """Samples of steps that never became whole."""
        trainer = self.trainer
        size = trainer.groups * trainer.samples_per_group
        return trainer.steps * size - len(self.samples)


class BenchTrainer:
    """
    Run the steps of one trainer.

    Parameters
    ----------
    model : TrainerSettings
        The trainer.
    addresses : sequence of str
        Entry hosts to try in turn.
    version_publisher : VersionPublisher
        Tells and publishes versions.
    seed : int
        Seed of the prompts.
    speed : float
        Scaled seconds in one second.

    """

    def __init__(
        self,
        model: TrainerSettings,
        addresses: Sequence[str],
        version_publisher: VersionPublisher,
        seed: int,
        speed: float,
    ) -> None:
        self._model = model
        self._trainer = Trainer(
            model.name,
            make_secret(model.name),
            addresses,
            model.bound,
        )
        self._version_publisher = version_publisher
        self._seed = seed
        self._train_seconds = model.train_seconds / speed
        self._log = TrainerLog(model)

    @property
    def log(self) -> TrainerLog:
        """What the trainer saw until now."""
        return self._log

    @property
    def is_background(self) -> bool:
        """Whether the trainer is left out of the measures."""
        return self._model.is_background

    async def run(self) -> None:
        """Run all steps, training between them."""
        begin = time.monotonic()
        opened = time.monotonic()
        for step in range(self._model.steps):
            wanted = time.monotonic()
            report = await self._trainer.run_step(self._make_request(step))
            now = time.monotonic()
            self._log.idle_seconds += now - wanted
            self._log.step_seconds.append(now - opened)
            self._record_report(report)
            opened = await self._train(step)
            self._log.wall_seconds = time.monotonic() - begin

    async def _train(self, step: int) -> float:
        """Train on a step; return when the next one was opened."""
        opened = time.monotonic()
        is_ahead = self._model.opens_ahead and step + 1 < self._model.steps
        if is_ahead:
            await self._open_ahead(step + 1)
        await asyncio.sleep(self._train_seconds)
        if self._model.publishes:
            await self._version_publisher.publish()
        await self._close(step)
        return opened if is_ahead else time.monotonic()

    async def _open_ahead(self, step: int) -> None:
        try:
            await self._trainer.open_step(self._make_request(step))
        except (aiohttp.ClientError, TimeoutError):
            # Opened again by the first pull.
            return

    async def _close(self, step: int) -> None:
        try:
            await self._trainer.close_step(step)
        except (aiohttp.ClientError, TimeoutError):
            # A step that stays open costs its node memory alone.
            return

    def _make_request(self, step: int) -> StepRequest:
        lengths = self._model.lengths
        length_marker = (
            f'[draw={lengths.median_tokens}:{lengths.sigma}:'
            f'{lengths.long_share}:{lengths.long_times}]'
        )
        name = f'{self._model.name} seed {self._seed} step {step}'
        return StepRequest(
            step=step,
            version=self._version_publisher.newest,
            model=MODEL,
            prompts=tuple(
                f'{length_marker} note on line {group} of {name}'
                for group in range(self._model.groups)
            ),
            samples_per_group=self._model.samples_per_group,
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
                # An engine may be swapped before the trainer's own version.
                stale = max(0, version - oldest)
                age = self._version_publisher.find_publication_gap_seconds(
                    version - stale, version
                )
                tokens = sum(span.tokens for span in sample.versions)
                delivered.append(DeliveredSample(tokens, stale, age))
        self._log.steps.append(delivered)
