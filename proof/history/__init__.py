"""History of one run, as callers, trainers, operators and targets saw it."""

from proof.history.events import (
    Attempt,
    Delivery,
    Execution,
    GeneratedTokens,
    History,
    LeavingTarget,
    ObservedRevision,
    Outcome,
    PlannedStop,
    StepEnd,
    Violation,
)
from proof.history.target_records import read_target_records

__all__ = (
    'Attempt',
    'Delivery',
    'Execution',
    'Violation',
    'GeneratedTokens',
    'History',
    'LeavingTarget',
    'Outcome',
    'PlannedStop',
    'ObservedRevision',
    'StepEnd',
    'read_target_records',
)
