"""Which target gets a request."""

from ladder_policy.routing.backoff import FailureBackoff
from ladder_policy.routing.base import Candidate, TargetChooser
from ladder_policy.routing.circuit import Circuit
from ladder_policy.routing.detour import DetourSwitch
from ladder_policy.routing.forward import (
    ForwardCandidate,
    choose_forward_target,
)
from ladder_policy.routing.least_loaded import LeastLoadedChooser
from ladder_policy.routing.prefix import PrefixAffinityChooser
from ladder_policy.routing.round_robin import RoundRobinChooser
from ladder_policy.routing.success import SuccessRate

__all__ = (
    'Candidate',
    'Circuit',
    'DetourSwitch',
    'FailureBackoff',
    'ForwardCandidate',
    'LeastLoadedChooser',
    'PrefixAffinityChooser',
    'RoundRobinChooser',
    'SuccessRate',
    'TargetChooser',
    'choose_forward_target',
)
