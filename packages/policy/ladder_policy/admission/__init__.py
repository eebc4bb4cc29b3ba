"""Admission control: rate limits, retry budgets and time-outs."""

from ladder_policy.admission.adaptive_timeout import AdaptiveTimeout
from ladder_policy.admission.permit_queue import PermitDecision, PermitQueue
from ladder_policy.admission.retry_budget import RetryBudget
from ladder_policy.admission.token_bucket import TokenBucket

__all__ = (
    'AdaptiveTimeout',
    'PermitDecision',
    'PermitQueue',
    'RetryBudget',
    'TokenBucket',
)
