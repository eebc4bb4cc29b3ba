"""The contract of the platform's object store."""

from abc import ABC, abstractmethod


class ObjectStore(ABC):
    """Keeps whole objects under names."""

    @abstractmethod
    async def put(self, name: str, body: bytes) -> None:
        """
        Store an object, in place of an earlier one of the name.

        Raises
        ------
        StoreUnavailableError
            The object may or may not be stored; storing again is harmless.

        """

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """
        Return an object, or None if there is none of the name.

        Raises
        ------
        StoreUnavailableError
            The store does not answer.

        """

    @abstractmethod
    async def delete(self, name: str) -> None:
        """
        Remove an object; an absent one is no error.

        Raises
        ------
        StoreUnavailableError
            The store does not answer.

        """
