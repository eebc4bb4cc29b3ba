"""Baseline that never changes the number of replicas."""

from ladder_policy.scaling.base import (
    ScalingDecision,
    ScalingPolicy,
    ServiceState,
)


class FixedScaling(ScalingPolicy):
    """Keep all numbers as they are."""

    def decide(self, state: ServiceState) -> ScalingDecision:
        """Return no change."""
        return ScalingDecision('fixed')
