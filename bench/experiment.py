"""Experiment files, checked at the border."""

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
    """The deployments of the brief."""

    cellarwatch = 'cellarwatch'
    cooperative = 'cooperative'


class FaultKind(StrEnum):
    """What an experiment may bring about."""

    target_crash = 'target-crash'
    node_kill = 'node-kill'
    node_freeze = 'node-freeze'
    store_out = 'store-out'
    link_cut = 'link-cut'
    swap = 'swap'


class Variant(SettingsModel):
    """
    One way to take the decisions.

    Attributes
    ----------
    name : str
        Name in the tables.
    policies : PolicySettings
        Policies of every node.

    """

    name: _Name
    policies: PolicySettings = PolicySettings()


class SampleLengths(SettingsModel):
    """
    Distribution of the lengths of samples: log-normal with a long tail.

    Attributes
    ----------
    median_tokens : float
        Median of the log-normal part.
    sigma : float
        Its shape.
    long_share : float
        Share of samples that are longer by `long_times`.
    long_times : float
        Factor of the long samples.

    """

    median_tokens: float = Field(default=60, gt=0)
    sigma: float = Field(default=0.5, ge=0)
    long_share: _Share = 0
    long_times: float = Field(default=1, ge=1)


class TrainerSettings(SettingsModel):
    """
    One trainer.

    Attributes
    ----------
    name : str
        Name of the trainer and of its plan.
    steps : int
        Steps to run.
    groups, samples_per_group : int
        Size of each step.
    bound : int
        Staleness bound in versions.
    train_seconds : float
        Scaled seconds of training on a step.
    opens_ahead : bool
        Whether the next step is opened before the training on this one.
    publishes : bool
        Whether a new version follows each training.
    weighs : str
        The plan's weighing.
    tokens_per_second : float
        The plan's entitled rate.
    lengths : SampleLengths
        Lengths of its samples.
    is_background : bool
        Whether it only loads the engines and is left out of the measures.

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
    Interactive completions, arriving at random times.

    Attributes
    ----------
    per_second : float
        Mean rate in scaled time.
    tokens : int
        Tokens of each answer.
    burst_at_seconds, burst_seconds : float
        Begin and length of a burst.
    burst_times : float
        Factor of the rate in the burst.

    """

    per_second: float = Field(default=4, ge=0)
    tokens: int = Field(default=16, ge=1)
    burst_at_seconds: _Seconds = 0
    burst_seconds: _Seconds = 0
    burst_times: float = Field(default=1, ge=1)

    def find_rate(self, at: float) -> float:
        """Return the rate at a time, in calls a scaled second."""
        since = at - self.burst_at_seconds
        is_burst = 0 <= since < self.burst_seconds
        if is_burst:
            return self.per_second * self.burst_times
        return self.per_second


class FaultSettings(SettingsModel):
    """
    A fault and when it comes.

    Attributes
    ----------
    kind : FaultKind
        What goes wrong.
    at_seconds : float
        Scaled seconds after the first step was opened.
    lasts_seconds : float
        Scaled seconds until it ends; zero for faults that do not end.
    target : str
        Process that it meets, such as ``engine-1`` or ``node-2``.

    """

    kind: FaultKind
    at_seconds: _Seconds
    lasts_seconds: _Seconds = 0
    target: str = ''


class Experiment(SettingsModel):
    """
    What to run.

    Attributes
    ----------
    name : str
        Name of the result files.
    deployments : tuple of DeploymentName
        Each is run.
    variants : tuple of Variant
        Each is run on each deployment.
    seeds : tuple of int
        Each is run with each variant.
    speed : float
        Scaled seconds that pass in one second of the machine.
    engine_tokens_per_second : float
        Scaled rate of one stream alone on an engine.
    trainers : tuple of TrainerSettings
        The trainers, all at once.
    interactive : InteractiveSettings
        Interactive load.
    faults : tuple of FaultSettings
        Faults.
    limit_seconds : float
        Seconds of the machine after which a run is given up.

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
    Read an experiment file.

    Parameters
    ----------
    path : Path
        The YAML file.

    Returns
    -------
    Experiment
        The checked experiment.

    Raises
    ------
    SettingsError
        The file is invalid; the message has one line for each fault.

    """
    return load_yaml(path, Experiment)
