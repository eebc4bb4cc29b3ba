"""What callers, trainers, operators and targets saw in one run."""

from proof.history.events import (
    Attempt,
    Delivery,
    Execution,
    Finding,
    Generated,
    History,
    Leaving,
    Outcome,
    PlannedStop,
    RevisionSeen,
    StepEnd,
)
from proof.history.truth import read_truth

__all__ = (
    'Attempt',
    'Delivery',
    'Execution',
    'Finding',
    'Generated',
    'History',
    'Leaving',
    'Outcome',
    'PlannedStop',
    'RevisionSeen',
    'StepEnd',
    'read_truth',
)
