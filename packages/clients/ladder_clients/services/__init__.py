"""Clients of services and of scorers."""

from ladder_clients.services.client import (
    DEFAULT_TIMEOUT_SECONDS,
    ServiceClient,
    ServiceRequest,
    ServiceResponse,
)
from ladder_clients.services.scorer import ScorerClient

__all__ = (
    'DEFAULT_TIMEOUT_SECONDS',
    'ServiceResponse',
    'ServiceRequest',
    'ServiceClient',
    'ScorerClient',
)
