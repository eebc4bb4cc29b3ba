"""Plans and allowances, the two lists that operators maintain."""

from dataclasses import dataclass
from enum import StrEnum


class HeadlineMetric(StrEnum):
    """Metric that a plan gives more weight: trainer idle time or staleness."""

    idle = 'idle'
    staleness = 'staleness'


@dataclass(frozen=True, slots=True)
class Plan:
    """
    Entitlement of a trainer or application of one organisation.

    Attributes
    ----------
    name : str
        Name of the plan, unique among all plans.
    customer : str
        Organisation that the plan belongs to. The name of the field is part
        of the files of operators and of stored rows.
    secret_sha256 : str
        Hexadecimal SHA-256 hash of the secret that authenticates callers.
    trainer : str
        Name of the trainer; empty for a plan without a trainer.
    samples_per_step : int
        Maximum number of samples of one step.
    staleness_versions : int
        Staleness bound: the maximum number of weight versions between that of
        the trainer and the oldest in a sample at hand-over.
    weighs : HeadlineMetric
        Headline metric that matters more to the organisation.
    requests_per_second : float
        Rate of interactive requests that the plan is entitled to.
    tokens_per_second : float
        Rate of generated tokens that the plan is entitled to; also its
        weight in fair sharing.

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
    Resources that a plan may use.

    Attributes
    ----------
    plan : str
        Name of the plan that the allowance applies to.
    pools : tuple of str
        Pools of targets that the plan may use.
    models : tuple of str
        Models that the plan may use.
    data_centres : tuple of str
        Data centres whose targets the plan may use; empty for all.
    max_replicas : int
        Maximum number of replicas that may run on behalf of the plan.

    """

    plan: str
    pools: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()
    max_replicas: int = 1


@dataclass(frozen=True, slots=True)
class Lists:
    """
    Accepted revision of the plans and allowances.

    Attributes
    ----------
    revision : int
        Number of accepted edits; zero before the first.
    plans : tuple of Plan
        All plans of all organisations.
    allowances : tuple of Allowance
        All allowances, at most one for each plan.
    author : str
        Name of the author of the revision.
    token : str
        Identifier of the edit that created the revision.

    """

    revision: int = 0
    plans: tuple[Plan, ...] = ()
    allowances: tuple[Allowance, ...] = ()
    author: str = ''
    token: str = ''

    def find_plan(self, secret_sha256: str) -> Plan | None:
        """Return the plan whose secret has the given hash, or None."""
        for plan in self.plans:
            if plan.secret_sha256 == secret_sha256:
                return plan
        return None

    def find_allowance(self, plan: str) -> Allowance:
        """Return the allowance of a plan, or one that permits nothing."""
        for allowance in self.allowances:
            if allowance.plan == plan:
                return allowance
        return Allowance(plan, max_replicas=0)
