"""How much work is let in."""

from ladder_policy.admission.bucket import TokenBucket
from ladder_policy.admission.budget import RetryBudget
from ladder_policy.admission.plans import (
    AdmissionPolicy,
    AdmitAll,
    PlanRates,
)

__all__ = (
    'AdmissionPolicy',
    'AdmitAll',
    'PlanRates',
    'RetryBudget',
    'TokenBucket',
)
