"""Decisions on the tasks of batches: who goes first, and to which engine."""

from ladder_policy.rollouts.engines import EngineView, choose_engine
from ladder_policy.rollouts.homes import assign_homes
from ladder_policy.rollouts.loads import (
    EngineHoldings,
    LoadDecision,
    ModelNeed,
    plan_loads,
)
from ladder_policy.rollouts.order import TaskView, order_tasks
from ladder_policy.rollouts.pace import EnginePace, FleetPace

__all__ = (
    'EngineHoldings',
    'EnginePace',
    'EngineView',
    'FleetPace',
    'LoadDecision',
    'ModelNeed',
    'TaskView',
    'assign_homes',
    'choose_engine',
    'order_tasks',
    'plan_loads',
)
