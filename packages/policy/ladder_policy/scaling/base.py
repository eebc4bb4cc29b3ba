"""Interface of the policies that decide on the number of replicas."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ladder_core.values import ScalingLimits


@dataclass(frozen=True, slots=True)
class TaskDemand:
    """
    A task that waits or runs.

    Attributes
    ----------
    tokens_left : float
        Expected number of tokens still to be generated.
    seconds_left : float
        Time in seconds until the result is due; negative if it is late.

    """

    tokens_left: float
    seconds_left: float


@dataclass(frozen=True, slots=True)
class Demand:
    """
    The work of a service.

    Attributes
    ----------
    tasks : tuple of TaskDemand
        The tasks that wait or run now.
    token_seconds : float
        Measured time per token of the engines, for each text that they run.
    slots : float
        Number of texts that an engine generates at once.

    """

    tasks: tuple[TaskDemand, ...]
    token_seconds: float
    slots: float


@dataclass(frozen=True, slots=True)
class PoolState:
    """
    Replicas of one kind in one data centre.

    Attributes
    ----------
    serving, booting, leaving : int
        Replicas that serve, that were ordered and don't serve yet, and that
        leave.
    reclaimed : int
        Leaving replicas that the platform takes back.
    running : int
        Tasks that run on the serving replicas.
    is_blocked : bool
        Whether no more replicas may be ordered now, after a refusal.

    """

    serving: int = 0
    booting: int = 0
    leaving: int = 0
    reclaimed: int = 0
    running: int = 0
    is_blocked: bool = False

    @property
    def count(self) -> int:
        """Number of replicas that serve or will serve soon."""
        return self.serving + self.booting


@dataclass(frozen=True, slots=True)
class DataCentreState:
    """
    Replicas of a service in one data centre.

    Attributes
    ----------
    name : str
        Name of the data centre.
    regular, spot : PoolState
        The replicas of each kind.

    """

    name: str
    regular: PoolState = PoolState()
    spot: PoolState = PoolState()


@dataclass(frozen=True, slots=True)
class ServiceState:
    """
    All that a decision on the replicas of a service depends on.

    Attributes
    ----------
    now : float
        Present time in seconds.
    limits : ScalingLimits
        Limits and prices of the configuration.
    demand : Demand or None
        The work of the service; None if it is not known.
    data_centres : tuple of DataCentreState
        Replicas in each data centre in which they may be ordered.
    allows_spot : bool
        Whether all work of the service survives the loss of its replica.

    """

    now: float
    limits: ScalingLimits
    demand: Demand | None
    data_centres: tuple[DataCentreState, ...]
    allows_spot: bool = True


@dataclass(frozen=True, slots=True)
class ReplicaTarget:
    """
    Number of replicas of one kind to order in a data centre.

    Attributes
    ----------
    data_centre : str
        Name of the data centre.
    count : int
        Number of replicas that there should be.
    is_spot : bool
        Whether the number is that of spot replicas.

    """

    data_centre: str
    count: int
    is_spot: bool = False


@dataclass(frozen=True, slots=True)
class ScalingDecision:
    """
    The numbers to change, and why.

    Attributes
    ----------
    reason : str
        Why the numbers change or stay.
    targets : tuple of ReplicaTarget
        Numbers that differ from the present ones.
    needed : int
        Engines that the present demand needs.
    peak : int
        Engines that the largest recent demand needed.

    """

    reason: str
    targets: tuple[ReplicaTarget, ...] = ()
    needed: int = 0
    peak: int = 0


class ScalingPolicy(ABC):
    """Decides on the number of replicas of one service."""

    @abstractmethod
    def decide(self, state: ServiceState) -> ScalingDecision:
        """
        Return the numbers that should change now.

        Parameters
        ----------
        state : ServiceState
            The present state; times grow from call to call.

        """
