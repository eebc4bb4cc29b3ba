"""Policies for samples that take much longer than the others."""

from ladder_policy.stragglers.base import (
    RunningSample,
    StepProgress,
    StragglerPolicy,
)
from ladder_policy.stragglers.hedge import HedgePolicy
from ladder_policy.stragglers.wait import WaitPolicy

__all__ = (
    'HedgePolicy',
    'RunningSample',
    'StepProgress',
    'StragglerPolicy',
    'WaitPolicy',
)
