"""Plain services and scorers."""

from ladder_clients.services.plain import (
    DEFAULT_SECONDS,
    PlainAnswer,
    PlainRequest,
    PlainServiceClient,
)
from ladder_clients.services.scorer import ScorerClient

__all__ = (
    'DEFAULT_SECONDS',
    'PlainAnswer',
    'PlainRequest',
    'PlainServiceClient',
    'ScorerClient',
)
