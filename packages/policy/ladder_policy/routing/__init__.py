"""Which target gets a request."""

from ladder_policy.routing.base import Candidate, TargetChooser
from ladder_policy.routing.circuit import Circuit
from ladder_policy.routing.least_loaded import LeastLoadedChooser
from ladder_policy.routing.prefix import PrefixAffinityChooser
from ladder_policy.routing.round_robin import RoundRobinChooser

__all__ = (
    'Candidate',
    'Circuit',
    'LeastLoadedChooser',
    'PrefixAffinityChooser',
    'RoundRobinChooser',
    'TargetChooser',
)
