"""Plain services and scorers."""

from ladder_clients.services.plain import (
    PlainAnswer,
    PlainRequest,
    PlainServiceClient,
)
from ladder_clients.services.scorer import ScorerClient

__all__ = (
    'PlainAnswer',
    'PlainRequest',
    'PlainServiceClient',
    'ScorerClient',
)
