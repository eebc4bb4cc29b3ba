"""Fair shares of a service between organisations while it lacks room."""

from ladder_policy.shares.concurrency import ContentionLimit
from ladder_policy.shares.fair_queue import Claim, FairQueue, Refusal

__all__ = ('Claim', 'ContentionLimit', 'FairQueue', 'Refusal')
