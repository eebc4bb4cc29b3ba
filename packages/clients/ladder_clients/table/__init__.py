"""The table service."""

from ladder_clients.table.base import TableClient
from ladder_clients.table.errors import StoreOutcomeUnknownError
from ladder_clients.table.gate import TableBudget, TableGate
from ladder_clients.table.http import HttpTableClient
from ladder_clients.table.resilient import ResilientTableClient
from ladder_clients.table.wire import (
    Condition,
    Outcome,
    Row,
    Transaction,
    Write,
)

__all__ = (
    'Condition',
    'HttpTableClient',
    'Outcome',
    'ResilientTableClient',
    'Row',
    'StoreOutcomeUnknownError',
    'TableBudget',
    'TableClient',
    'TableGate',
    'Transaction',
    'Write',
)
