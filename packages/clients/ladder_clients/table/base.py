"""The contract of a client of the table service."""

from abc import ABC, abstractmethod

from ladder_clients.table.wire import Outcome, Row, Transaction


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
