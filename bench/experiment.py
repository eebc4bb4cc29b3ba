"""Schema and loading of experiment files."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated

from pydantic import Field

from ladder_core.settings import PolicySettings, load_yaml
from ladder_core.settings.files import SettingsModel

_Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
_Seconds = Annotated[float, Field(ge=0)]
_Share = Annotated[float, Field(ge=0, le=1)]


class DeploymentName(StrEnum):
    """Deployments that an experiment can run on."""

    cellarwatch = 'cellarwatch'
    cooperative = 'cooperative'


class FaultKind(StrEnum):
    """Faults and events that an experiment can inject."""

    target_crash = 'target-crash'
    node_kill = 'node-kill'
    node_freeze = 'node-freeze'
    store_out = 'store-out'
    link_cut = 'link-cut'
    swap = 'swap'


class Variant(SettingsModel):
    """
    Set of policies to compare with others.

    Attributes
    ----------
    name : str
        Name of the variant in the tables.
    policies : PolicySettings
        Policies that every node uses.

    """

    name: _Name
    policies: PolicySettings = PolicySettings()


class SampleLengths(SettingsModel):
    """
    Distribution of the lengths of samples: log-normal with a long tail.

    Attributes
    ----------
    median_tokens : float
        Median length in tokens of the log-normal distribution.
    sigma : float
        Shape parameter of the log-normal distribution.
    long_share : float
        Share of samples whose length is multiplied by `long_times`.
    long_times : float
        Factor by which these samples are longer.

    """

    median_tokens: float = Field(default=60, gt=0)
    sigma: float = Field(default=0.5, ge=0)
    long_share: _Share = 0
    long_times: float = Field(default=1, ge=1)


class TrainerSettings(SettingsModel):
    """
    Steps, plan and behaviour of a trainer.

    Attributes
    ----------
    name : str
        Name of the trainer and of its plan.
    steps : int
        Number of steps to run.
    groups, samples_per_group : int
        Number of groups in a step, and number of samples in a group.
    bound : int
        Staleness bound of the plan, in versions.
    train_seconds : float
        Scaled seconds for which the trainer trains on a step.
    opens_ahead : bool
        Whether the next step is opened before the training on the current
        one.
    publishes : bool
        Whether the trainer publishes a new version after each training.
    weighs : str
        Headline figure that the plan weighs more: idle time or staleness.
    tokens_per_second : float
        Entitled rate of generated tokens of the plan.
    lengths : SampleLengths
        Distribution of the lengths of its samples.
    is_background : bool
        Whether the trainer only generates load and is left out of the
        measures.

    """

    name: _Name
    steps: int = Field(default=4, ge=1)
    groups: int = Field(default=16, ge=1)
    samples_per_group: int = Field(default=4, ge=1)
    bound: int = Field(default=1, ge=0)
    train_seconds: _Seconds = 2
    opens_ahead: bool = True
    publishes: bool = True
    weighs: Annotated[str, Field(pattern='^(idle|staleness)$')] = 'idle'
    tokens_per_second: float = Field(default=1000, gt=0)
    lengths: SampleLengths = SampleLengths()
    is_background: bool = False


class InteractiveSettings(SettingsModel):
    """
    Interactive completions that are sent at random times.

    Attributes
    ----------
    per_second : float
        Mean number of calls in a scaled second.
    tokens : int
        Number of tokens of each completion.
    burst_at_seconds, burst_seconds : float
        Start and length of a burst, in scaled seconds.
    burst_times : float
        Factor by which the rate is higher during the burst.

    """

    per_second: float = Field(default=4, ge=0)
    tokens: int = Field(default=16, ge=1)
    burst_at_seconds: _Seconds = 0
    burst_seconds: _Seconds = 0
    burst_times: float = Field(default=1, ge=1)

    def find_rate(self, at: float) -> float:
        """Return the calls in a scaled second at a time in scaled seconds."""
        burst_age_seconds = at - self.burst_at_seconds
        is_burst = 0 <= burst_age_seconds < self.burst_seconds
        if is_burst:
            return self.per_second * self.burst_times
        return self.per_second


class FaultSettings(SettingsModel):
    """
    A fault with its start and duration.

    Attributes
    ----------
    kind : FaultKind
        Fault to inject.
    at_seconds : float
        Scaled seconds from the opening of the first step to the fault.
    lasts_seconds : float
        Scaled seconds until the fault ends; zero for faults that do not end.
    target : str
        Process that is hit, such as ``engine-1`` or ``node-2``; empty for
        faults that hit no single process.

    """

    kind: FaultKind
    at_seconds: _Seconds
    lasts_seconds: _Seconds = 0
    target: str = ''


class Experiment(SettingsModel):
    """
    Contents of an experiment file.

    Attributes
    ----------
    name : str
        Name of the experiment and of the folder with its results.
    deployments : tuple of DeploymentName
        Deployments to run the experiment on.
    variants : tuple of Variant
        Variants to run on each deployment.
    seeds : tuple of int
        Seeds to run each variant with.
    speed : float
        Scaled seconds that pass in one real second. All times of the file
        but `limit_seconds` are in scaled seconds.
    engine_tokens_per_second : float
        Tokens in a scaled second of a stream that is alone on an engine.
    trainers : tuple of TrainerSettings
        Trainers, which run at the same time.
    interactive : InteractiveSettings
        Interactive calls, which are sent while the trainers run.
    faults : tuple of FaultSettings
        Faults to inject while the trainers run.
    limit_seconds : float
        Real seconds after which a run is stopped.

    """

    name: _Name
    deployments: tuple[DeploymentName, ...] = Field(min_length=1)
    variants: tuple[Variant, ...] = Field(min_length=1)
    seeds: tuple[int, ...] = Field(min_length=1)
    speed: float = Field(default=1, gt=0)
    engine_tokens_per_second: float = Field(default=200, gt=0)
    trainers: tuple[TrainerSettings, ...] = Field(min_length=1)
    interactive: InteractiveSettings = InteractiveSettings()
    faults: tuple[FaultSettings, ...] = ()
    limit_seconds: float = Field(default=120, gt=0)


def load_experiment(path: Path) -> Experiment:
    """
    Read and check an experiment file.

    Parameters
    ----------
    path : Path
        YAML file that describes the experiment.

    Returns
    -------
    Experiment
        Contents of the file.

    Raises
    ------
    SettingsError
        The file is invalid; the message has one line for each fault.

    """
    return load_yaml(path, Experiment)
