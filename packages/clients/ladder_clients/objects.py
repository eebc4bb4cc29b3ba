"""Interface of clients of the platform's object store."""

from abc import ABC, abstractmethod


class ObjectStore(ABC):
    """Store of whole objects, each under a name."""

    @abstractmethod
    async def put(self, name: str, body: bytes) -> None:
        """
        Store an object; replace an earlier one of the same name.

        Parameters
        ----------
        name : str
            Name of the object.
        body : bytes
            The whole content.

        Raises
        ------
        StoreUnavailableError
            The object may have been stored or not; the call is idempotent and
            can be retried.

        """

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """
        Return the content of an object, or None if the name is unknown.

        Raises
        ------
        StoreUnavailableError
            The store does not answer.

        """

    @abstractmethod
    async def delete(self, name: str) -> None:
        """
        Delete an object; do nothing if it is absent.

        Raises
        ------
        StoreUnavailableError
            The store does not answer.

        """
