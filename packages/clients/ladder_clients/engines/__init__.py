"""Clients and messages of model engines."""

from ladder_clients.engines.base import EngineClient
from ladder_clients.engines.http import HttpEngineClient
from ladder_clients.engines.wire import (
    Chunk,
    EngineState,
    GenerateRequest,
    Order,
    OrderKind,
    OrderResponse,
    Role,
)

__all__ = (
    'Chunk',
    'EngineClient',
    'EngineState',
    'GenerateRequest',
    'HttpEngineClient',
    'Order',
    'OrderKind',
    'OrderResponse',
    'Role',
)
