"""Clients of the platform's host list, weight store and object store."""

from ladder_clients.objects import ObjectStore
from ladder_clients.platform.hosts import HostList, HttpHostList
from ladder_clients.platform.objects import HttpObjectStore
from ladder_clients.platform.weights import (
    HttpWeightStore,
    Weights,
    WeightStore,
)

__all__ = (
    'HostList',
    'HttpHostList',
    'HttpObjectStore',
    'HttpWeightStore',
    'ObjectStore',
    'WeightStore',
    'Weights',
)
