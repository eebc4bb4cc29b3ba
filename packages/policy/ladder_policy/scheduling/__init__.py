"""Scheduling of batch tasks: their order, their engines, loads of weights."""

from ladder_policy.scheduling.engines import EngineView, choose_engine
from ladder_policy.scheduling.homes import assign_homes
from ladder_policy.scheduling.leaving import should_leave
from ladder_policy.scheduling.loads import (
    EngineStatus,
    LoadDecision,
    ModelNeed,
    plan_loads,
)
from ladder_policy.scheduling.moves import RunView, should_move
from ladder_policy.scheduling.order import TaskView, order_tasks
from ladder_policy.scheduling.restarts import RestartPause
from ladder_policy.scheduling.stranded import should_start_anew
from ladder_policy.scheduling.token_time import EngineTokenTime, FleetTokenTime

__all__ = (
    'EngineStatus',
    'EngineTokenTime',
    'EngineView',
    'FleetTokenTime',
    'LoadDecision',
    'ModelNeed',
    'RestartPause',
    'RunView',
    'TaskView',
    'assign_homes',
    'choose_engine',
    'order_tasks',
    'plan_loads',
    'should_leave',
    'should_move',
    'should_start_anew',
)
