"""Immutable values that several packages share."""

from ladder_core.values.differences import (
    Difference,
    DifferenceKind,
    compare_lists,
)
from ladder_core.values.hosts import HostEntry, HostKind, HostState
from ladder_core.values.lists import Allowance, Lists, Plan, Weighing
from ladder_core.values.samples import Group, Sample, SampleId, VersionSpan

__all__ = (
    'Allowance',
    'Difference',
    'DifferenceKind',
    'Group',
    'HostEntry',
    'HostKind',
    'HostState',
    'Lists',
    'Plan',
    'Sample',
    'SampleId',
    'VersionSpan',
    'Weighing',
    'compare_lists',
)
