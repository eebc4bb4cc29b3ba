"""Measures of one run."""

from collections.abc import Sequence

import msgspec
import numpy as np

from bench.bounds import Capacity, TrainerWorkload, find_unavoidable_share
from bench.deployments import BATCH_LIMIT, Deployment
from bench.experiment import Experiment
from bench.interactive import InteractiveLoad
from bench.training import TrainerLog

_P50 = 50
_P95 = 95
_P99 = 99


class Quantiles(msgspec.Struct, frozen=True):
    """
    Distribution of a measure over samples or steps.

    Attributes
    ----------
    p50, p95, most : float
        Median, 95th percentile and largest value.

    """

    p50: float
    p95: float
    most: float


class RunMeasures(msgspec.Struct, frozen=True):
    """
    Measures of one run, with times in scaled seconds.

    Attributes
    ----------
    experiment, deployment, variant : str
        Names of what was run.
    seed : int
        Seed of the run.
    idle_share : float
        Time that trainers waited for samples, divided by their wall time.
    unavoidable_share : float
        Lowest idle share that the token rate of the engines allows.
    stale_versions, stale_seconds : Quantiles
        Staleness of the samples at delivery, in versions and as the time
        between the publications of the versions.
    step_seconds : Quantiles
        Time from the opening of a step to its last group.
    goodput : float
        Tokens of delivered samples a second.
    call_p50, call_p99 : float
        Median and 99th percentile of the latency of interactive calls.
    answered, refused, failed : int
        Numbers of interactive calls by their result.
    excess_replica_seconds : float
        Time for which engines were on, less the time that the generated
        tokens need with full batches.
    link_bytes : int
        Bytes that crossed the link between the regions.
    lost, doubled, too_old : int
        Number of samples that were not delivered, of groups that were
        delivered more than once, and of samples over the staleness bound.

    """

    experiment: str
    deployment: str
    variant: str
    seed: int
    idle_share: float
    unavoidable_share: float
    stale_versions: Quantiles
    stale_seconds: Quantiles
    step_seconds: Quantiles
    goodput: float
    call_p50: float
    call_p99: float
    answered: int
    refused: int
    failed: int
    excess_replica_seconds: float
    link_bytes: int
    lost: int
    doubled: int
    too_old: int


class RunRecord(msgspec.Struct, frozen=True):
    """
    Raw results of one run, with times in real seconds.

    Attributes
    ----------
    variant : str
        Name of the variant that was run.
    seed : int
        Seed of the run.
    logs : tuple of TrainerLog
        Steps and samples of each trainer.
    load : InteractiveLoad
        Interactive calls with their results and latencies.
    link_bytes : int
        Bytes that crossed the link between the regions, as counted by the
        stand-ins.
    engine_seconds : float
        Time for which engines were on, summed over all engines.

    """

    variant: str
    seed: int
    logs: tuple[TrainerLog, ...]
    load: InteractiveLoad
    link_bytes: int
    engine_seconds: float


def compute_measures(
    experiment: Experiment,
    deployment: Deployment,
    deployment_name: str,
    record: RunRecord,
) -> RunMeasures:
    """
    Compute the measures of a run from its raw results.

    Parameters
    ----------
    experiment : Experiment
        Experiment that the run belongs to.
    deployment : Deployment
        Deployment that was run.
    deployment_name : str
        Name of the deployment, for the tables.
    record : RunRecord
        Raw results of the run.

    Returns
    -------
    RunMeasures
        Measures with times in scaled seconds.

    """
    speed = experiment.speed
    logs = [log for log in record.logs if not log.trainer.is_background]
    capacity = _find_capacity(experiment, deployment)
    samples = [sample for log in logs for sample in log.samples]
    wall_seconds = sum(log.wall_seconds for log in logs) * speed
    longest_wall_seconds = (
        max((log.wall_seconds for log in logs), default=0) * speed
    )
    tokens = sum(sample.tokens for sample in samples)
    idle_seconds = sum(log.idle_seconds for log in logs) * speed
    call_tokens = record.load.answered * experiment.interactive.tokens
    needed_seconds = (tokens + call_tokens) / capacity.tokens_per_second
    return RunMeasures(
        experiment=experiment.name,
        deployment=deployment_name,
        variant=record.variant,
        seed=record.seed,
        idle_share=_divide(idle_seconds, wall_seconds),
        unavoidable_share=_find_unavoidable_share(logs, capacity),
        stale_versions=_summarize(
            [sample.stale_versions for sample in samples]
        ),
        stale_seconds=_summarize(
            [sample.stale_seconds * speed for sample in samples]
        ),
        step_seconds=_summarize(
            [seconds * speed for log in logs for seconds in log.step_seconds],
        ),
        goodput=_divide(tokens, longest_wall_seconds),
        call_p50=record.load.find_latency(_P50) * speed,
        call_p99=record.load.find_latency(_P99) * speed,
        answered=record.load.answered,
        refused=record.load.refused,
        failed=record.load.failed,
        excess_replica_seconds=(
            record.engine_seconds * speed - needed_seconds * deployment.engines
        ),
        link_bytes=record.link_bytes,
        lost=sum(log.lost for log in logs),
        doubled=sum(log.doubled for log in logs),
        too_old=sum(log.too_old for log in logs),
    )


def _find_unavoidable_share(
    logs: Sequence[TrainerLog],
    capacity: Capacity,
) -> float:
    workloads = [
        TrainerWorkload(
            tuple(
                tuple(sample.tokens for sample in step) for step in log.steps
            ),
            log.trainer.train_seconds,
            log.trainer.opens_ahead,
        )
        for log in logs
    ]
    return find_unavoidable_share(workloads, capacity)


def _find_capacity(
    experiment: Experiment,
    deployment: Deployment,
) -> Capacity:
    """Return the highest rates that the cost model of the engines allows."""
    rate = experiment.engine_tokens_per_second
    return Capacity(
        tokens_per_second=deployment.engines * BATCH_LIMIT * rate / 2,
        stream_tokens_per_second=rate / (1 + 1 / BATCH_LIMIT),
    )


def _summarize(figures: Sequence[float]) -> Quantiles:
    if not figures:
        return Quantiles(0, 0, 0)
    p50, p95 = np.percentile(figures, [_P50, _P95])
    return Quantiles(float(p50), float(p95), float(max(figures)))


def _divide(part: float, whole: float) -> float:
    return part / whole if whole else float(0)
