"""The contract of a client of the table service."""

from abc import ABC, abstractmethod

from ladder_clients.table.wire import Outcome, Row, RowChanges, Transaction


class TableClient(ABC):
    """Reads and transactions over the platform's table service."""

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
        Return the rows of a table whose keys start with a prefix, by key.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> Outcome:
        """
        Apply a transaction.

        Raises
        ------
        StoreUnavailableError
            The transaction took no effect.
        StoreOutcomeUnknownError
            The transaction may have taken effect; `read_outcome` tells.

        """

    @abstractmethod
    async def read_outcome(self, token: str) -> Outcome | None:
        """
        Return the outcome of a transaction, or None if it was never seen.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """


class PartitionedTableClient(TableClient):
    """
    A table service whose tables have partitions, and whose changes are fed.

    Notes
    -----
    A transaction changes rows of one partition, in any tables.

    """

    @abstractmethod
    async def read_from_partition(
        self, table: str, part: str, key: str
    ) -> Row | None:
        """
        Return one row of a partition, or None if it is absent.

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
        Return rows of a partition, by key.

        Parameters
        ----------
        table, part : str
            Where to look.
        prefix : str, optional
            What the keys begin with.
        start : str, optional
            The first key, if it exists.
        limit : int, optional
            Largest number of rows; all of them by default.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """

    @abstractmethod
    async def list_partitions(self, table: str) -> list[str]:
        """
        Return the partitions of a table that have rows.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """

    @abstractmethod
    async def snapshot(self, table: str) -> RowChanges:
        """
        Return the unnamed partition of a table, and where its changes go on.

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
        Wait for changes of a table, in any partition.

        Parameters
        ----------
        table : str
            The table.
        after : int
            Revision up to which the changes are known.
        wait_seconds : float
            Longest wait for the first change.

        Raises
        ------
        HistoryLostError
            Changes are missing; read the table anew.
        StoreUnavailableError
            The service does not answer.

        """
