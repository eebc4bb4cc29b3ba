"""Checkers of the promises; each of them reads nothing but a history."""

from proof.checkers.answers import check_own_whole_answers
from proof.checkers.base import Checker, check_all
from proof.checkers.configuration import check_configuration
from proof.checkers.executions import check_at_most_once, check_refusals
from proof.checkers.leaving import check_leaving_targets
from proof.checkers.samples import (
    check_exactly_once,
    check_staleness,
    check_versions,
)
from proof.checkers.stops import check_planned_stops

__all__ = (
    'Checker',
    'check_all',
    'check_at_most_once',
    'check_configuration',
    'check_exactly_once',
    'check_leaving_targets',
    'check_own_whole_answers',
    'check_planned_stops',
    'check_refusals',
    'check_staleness',
    'check_versions',
)
