"""A trainer that records every sample that is delivered to it."""

import time

from ladder_standins.trainer import StepReport, StepRequest, Trainer
from proof.history import Delivery, History, StepEnd
from proof.history.events import Span

_GROUP_COUNT = 4
_SAMPLES_PER_GROUP = 4
_MODEL = 'cask'


class RecordingTrainer:
    """
    Run steps and record the samples of each.

    Parameters
    ----------
    trainer : Trainer
        Client that opens steps and pulls their samples.
    bound : int
        Staleness bound of the plan, in versions.
    history : History
        Receives the delivered samples and the ends of steps.

    """

    def __init__(
        self,
        trainer: Trainer,
        bound: int,
        history: History,
    ) -> None:
        self._trainer = trainer
        self._bound = bound
        self._history = history

    async def run_step(self, step: int) -> None:
        """Run a step whose weight version is the step number; record it."""
        prompts = tuple(
            f'log {group} of night {step}' for group in range(_GROUP_COUNT)
        )
        request = StepRequest(step, step, _MODEL, prompts, _SAMPLES_PER_GROUP)
        report = await self._trainer.run_step(request)
        self._record(report)
        await self._trainer.close_step(step)

    def has_time_left(self, until: float) -> bool:
        """Whether the monotonic clock has not yet reached the given time."""
        return time.monotonic() < until

    def _record(self, report: StepReport) -> None:
        request = report.request
        name = str(request.step)
        for group in report.arrivals:
            for sample in group.samples:
                self._history.deliveries.append(
                    Delivery(
                        sample.id,
                        name,
                        request.prompts[group.index],
                        sample.text,
                        tuple(
                            Span(span.version, span.tokens)
                            for span in sample.versions
                        ),
                        request.version,
                        self._bound,
                    ),
                )
        requested_samples = len(request.prompts) * request.samples_per_group
        self._history.step_ends.append(StepEnd(name, requested_samples))
