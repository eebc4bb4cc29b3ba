"""Callers, trainers and observers, which record what they see in a history."""

from proof.load.callers import Caller, ClaimCaller, CompletionCaller
from proof.load.observer import RevisionObserver
from proof.load.trainer import RecordingTrainer

__all__ = (
    'Caller',
    'ClaimCaller',
    'CompletionCaller',
    'RecordingTrainer',
    'RevisionObserver',
)
