"""Rollout of a new weight version to the replicas of a pool."""

from ladder_policy.versions.all_at_once import AllAtOncePlanner
from ladder_policy.versions.base import (
    ReplicaVersion,
    RolloutPlanner,
    WeightSource,
)
from ladder_policy.versions.waves import WaveLimits, WavePlanner

__all__ = (
    'AllAtOncePlanner',
    'ReplicaVersion',
    'RolloutPlanner',
    'WeightSource',
    'WaveLimits',
    'WavePlanner',
)
