"""The operators' two lists: plans and allowances."""

from dataclasses import dataclass
from enum import StrEnum


class HeadlineMetric(StrEnum):
    """What a plan weighs more."""

    idle = 'idle'
    staleness = 'staleness'


@dataclass(frozen=True, slots=True)
class Plan:
    """
    What one customer's trainer or application is entitled to.

    Attributes
    ----------
    name : str
        Unique name.
    customer : str
        The customer who holds the plan.
    secret_sha256 : str
        Hexadecimal SHA-256 of the plan's secret.
    trainer : str
        Name of the trainer; empty for a plan without one.
    samples_per_step : int
        Largest number of samples of one step.
    staleness_versions : int
        Largest number of versions between the trainer and the oldest span of
        a sample at hand-over.
    weighs : HeadlineMetric
        Which headline figure is worth more to the customer.
    requests_per_second : float
        Entitled rate of interactive requests.
    tokens_per_second : float
        Entitled rate of generated tokens; the weight of the fair share.

    """

    name: str
    customer: str
    secret_sha256: str
    trainer: str = ''
    samples_per_step: int = 0
    staleness_versions: int = 0
    weighs: HeadlineMetric = HeadlineMetric.idle
    requests_per_second: float = 10
    tokens_per_second: float = 1000


@dataclass(frozen=True, slots=True)
class Allowance:
    """
    What one plan may use.

    Attributes
    ----------
    plan : str
        Name of the plan.
    pools : tuple of str
        Pools of targets.
    models : tuple of str
        Models the engines may serve for the plan.
    data_centres : tuple of str
        Data centres whose targets may be used; empty for all.
    max_replicas : int
        Largest number of replicas that may be on for the plan's sake.

    """

    plan: str
    pools: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()
    max_replicas: int = 1


@dataclass(frozen=True, slots=True)
class Lists:
    """
    One accepted revision of the operators' two lists.

    Attributes
    ----------
    revision : int
        Counts accepted changes; zero before the first.
    plans : tuple of Plan
        All plans.
    allowances : tuple of Allowance
        All allowances.
    author : str
        Who applied the revision.
    token : str
        Identifies the edit that made the revision.

    """

    revision: int = 0
    plans: tuple[Plan, ...] = ()
    allowances: tuple[Allowance, ...] = ()
    author: str = ''
    token: str = ''

    def find_plan(self, secret_sha256: str) -> Plan | None:
        """Return the plan that a secret's hash belongs to."""
        for plan in self.plans:
            if plan.secret_sha256 == secret_sha256:
                return plan
        return None

    def find_allowance(self, plan: str) -> Allowance:
        """Return a plan's allowance; one that allows nothing by default."""
        for allowance in self.allowances:
            if allowance.plan == plan:
                return allowance
        return Allowance(plan, max_replicas=0)
