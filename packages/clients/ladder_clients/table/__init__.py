"""The table service."""

from ladder_clients.table.base import PartitionedTable, TableClient
from ladder_clients.table.errors import (
    HistoryLostError,
    StoreOutcomeUnknownError,
)
from ladder_clients.table.gate import TableBudget, TableGate
from ladder_clients.table.resilient import ResilientTableClient
from ladder_clients.table.wire import (
    Changes,
    Condition,
    Outcome,
    Row,
    Transaction,
    Write,
)

__all__ = (
    'Changes',
    'Condition',
    'HistoryLostError',
    'Outcome',
    'ResilientTableClient',
    'PartitionedTable',
    'Row',
    'StoreOutcomeUnknownError',
    'TableBudget',
    'TableClient',
    'TableGate',
    'Transaction',
    'Write',
)
