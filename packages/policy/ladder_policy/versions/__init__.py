"""Which replicas load a new weight version when."""

from ladder_policy.versions.all_at_once import AllAtOncePlanner
from ladder_policy.versions.base import Replica, RolloutPlanner, Supply
from ladder_policy.versions.waves import WaveLimits, WavePlanner

__all__ = (
    'AllAtOncePlanner',
    'Replica',
    'RolloutPlanner',
    'Supply',
    'WaveLimits',
    'WavePlanner',
)
