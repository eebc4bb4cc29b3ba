"""How much work is let in."""

from ladder_policy.admission.bucket import TokenBucket
from ladder_policy.admission.budget import RetryBudget
from ladder_policy.admission.patience import Patience

__all__ = (
    'Patience',
    'RetryBudget',
    'TokenBucket',
)
