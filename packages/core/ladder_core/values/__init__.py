"""Immutable values used by several packages."""

from ladder_core.values.differences import (
    Difference,
    DifferenceKind,
    compare_lists,
)
from ladder_core.values.hosts import HostEntry, HostKind, HostState
from ladder_core.values.lists import Allowance, HeadlineMetric, Lists, Plan
from ladder_core.values.organisations import (
    Organisation,
    OrganisationDirectory,
)
from ladder_core.values.replicas import Replica
from ladder_core.values.routes import (
    CallerLimits,
    Route,
    RouteKind,
    RouteTable,
    ServiceEntry,
    ServiceShare,
)
from ladder_core.values.samples import Group, Sample, SampleId, VersionSpan
from ladder_core.values.scaling import ScalingLimits

__all__ = (
    'Allowance',
    'CallerLimits',
    'Difference',
    'DifferenceKind',
    'Group',
    'HostEntry',
    'HostKind',
    'HostState',
    'Lists',
    'Organisation',
    'OrganisationDirectory',
    'Plan',
    'Replica',
    'Route',
    'RouteKind',
    'RouteTable',
    'Sample',
    'SampleId',
    'ScalingLimits',
    'ServiceEntry',
    'ServiceShare',
    'VersionSpan',
    'HeadlineMetric',
    'compare_lists',
)
