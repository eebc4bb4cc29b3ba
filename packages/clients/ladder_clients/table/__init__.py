"""Clients of the table service, and the limits of their calls."""

from ladder_clients.table.admission import TableAdmission, TableLimits
from ladder_clients.table.base import PartitionedTableClient, TableClient
from ladder_clients.table.clock import ServiceClock, Timestamp
from ladder_clients.table.errors import (
    HistoryLostError,
    StoreOutcomeUnknownError,
)
from ladder_clients.table.malformed import report_malformed
from ladder_clients.table.resilient import ResilientTableClient
from ladder_clients.table.wire import (
    Condition,
    Outcome,
    Row,
    RowChanges,
    Transaction,
    Write,
)

__all__ = (
    'RowChanges',
    'Condition',
    'HistoryLostError',
    'Outcome',
    'ResilientTableClient',
    'PartitionedTableClient',
    'Row',
    'ServiceClock',
    'StoreOutcomeUnknownError',
    'TableLimits',
    'TableClient',
    'TableAdmission',
    'Timestamp',
    'Transaction',
    'Write',
    'report_malformed',
)
