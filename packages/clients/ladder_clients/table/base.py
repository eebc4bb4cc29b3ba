"""Interfaces of clients of the table service."""

from abc import ABC, abstractmethod

from ladder_clients.table.clock import Timestamp
from ladder_clients.table.wire import Outcome, Row, RowChanges, Transaction
from ladder_core.timers import TimerService


class TableClient(ABC):
    """Reads and transactions on the platform's table service."""

    @abstractmethod
    async def read(self, table: str, key: str) -> Row | None:
        """
        Return one row, or None if it is absent.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """

    @abstractmethod
    async def scan(self, table: str, prefix: str = '') -> list[Row]:
        """
        Return the rows whose keys start with a prefix, sorted by key.

        Parameters
        ----------
        table : str
            Table to read.
        prefix : str, optional
            Prefix of the keys; empty for all rows.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> Outcome:
        """
        Apply a transaction.

        Parameters
        ----------
        transaction : Transaction
            Conditions and writes; its token makes repeated calls idempotent.

        Raises
        ------
        StoreUnavailableError
            The transaction took no effect.
        StoreOutcomeUnknownError
            The transaction may have taken effect; `read_outcome` tells
            whether it has.

        """

    @abstractmethod
    async def read_outcome(self, token: str) -> Outcome | None:
        """
        Return the outcome of a transaction, or None if it is unknown.

        Parameters
        ----------
        token : str
            Token of the transaction.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """


class PartitionedTableClient(TableClient):
    """
    Client of a table service with partitions and a feed of row changes.

    Notes
    -----
    All rows that one transaction writes are in the same partition; they may be
    in different tables.

    """

    @abstractmethod
    def estimate_clock(self) -> int | None:
        """
        Return the service's steady clock in milliseconds, without a call.

        It is estimated from the latest response that named it; None if none
        has yet.

        """

    def make_timestamp(self, timers: TimerService) -> Timestamp:
        """
        Return the present moment, for rows from which ages are found.

        Parameters
        ----------
        timers : TimerService
            Wall clock of this host.

        """
        return Timestamp(timers.wall_milliseconds(), self.estimate_clock())

    @abstractmethod
    async def read_from_partition(
        self, table: str, part: str, key: str
    ) -> Row | None:
        """
        Return one row of a partition, or None if it is absent.

        Parameters
        ----------
        table, part, key : str
            Table, partition and key of the row.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """

    @abstractmethod
    async def scan_partition(
        self,
        table: str,
        part: str,
        prefix: str = '',
        start: str = '',
        limit: int | None = None,
    ) -> list[Row]:
        """
        Return rows of a partition, sorted by key.

        Parameters
        ----------
        table, part : str
            Table and partition to read.
        prefix : str, optional
            Prefix of the keys; empty for all rows.
        start : str, optional
            Smallest key to return, inclusive.
        limit : int, optional
            Largest number of rows; no limit by default.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """

    @abstractmethod
    async def list_partitions(self, table: str) -> list[str]:
        """
        Return the names of the partitions of a table that have rows.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """

    @abstractmethod
    async def snapshot(self, table: str) -> RowChanges:
        """
        Return all rows of the unnamed partition, and the current revision.

        Explanation
        -----------
        `watch` continues from the revision of the result.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """

    @abstractmethod
    async def watch(
        self,
        table: str,
        after: int,
        wait_seconds: float,
    ) -> RowChanges:
        """
        Wait for changes of a table in any partition, and return them.

        Parameters
        ----------
        table : str
            Table to watch.
        after : int
            Revision up to which the caller knows the changes.
        wait_seconds : float
            Longest wait for the first change, in seconds.

        Raises
        ------
        HistoryLostError
            The service no longer has all changes since the revision; the
            caller has to read the table again.
        StoreUnavailableError
            The service does not answer.

        """
