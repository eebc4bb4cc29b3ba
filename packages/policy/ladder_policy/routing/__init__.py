"""Choice of the target of a request, and exclusion of failing targets."""

from ladder_policy.routing.backoff import FailureBackoff
from ladder_policy.routing.base import Candidate, TargetChooser
from ladder_policy.routing.circuit_breaker import TargetCircuitBreaker
from ladder_policy.routing.forward import (
    ForwardCandidate,
    choose_forward_target,
)
from ladder_policy.routing.gateways import choose_gateways
from ladder_policy.routing.least_loaded import LeastLoadedChooser
from ladder_policy.routing.prefix import PrefixAffinityChooser
from ladder_policy.routing.relay_switch import RelaySwitch
from ladder_policy.routing.relays import RelayCandidate, order_relays
from ladder_policy.routing.round_robin import RoundRobinChooser
from ladder_policy.routing.service_path import ServicePath
from ladder_policy.routing.success_rate import SuccessRate
from ladder_policy.routing.verifiers import is_verifier

__all__ = (
    'Candidate',
    'FailureBackoff',
    'ForwardCandidate',
    'LeastLoadedChooser',
    'PrefixAffinityChooser',
    'RelayCandidate',
    'RelaySwitch',
    'RoundRobinChooser',
    'ServicePath',
    'SuccessRate',
    'TargetChooser',
    'TargetCircuitBreaker',
    'choose_forward_target',
    'choose_gateways',
    'is_verifier',
    'order_relays',
)
