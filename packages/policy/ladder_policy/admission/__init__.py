"""How much work is let in."""

from ladder_policy.admission.bucket import TokenBucket
from ladder_policy.admission.budget import RetryBudget

__all__ = ('RetryBudget', 'TokenBucket')
