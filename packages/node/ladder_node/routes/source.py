"""Where the configuration of routes is read from."""

from abc import ABC, abstractmethod

from ladder_core.values import RouteTable


class RouteSource(ABC):
    """Reads the configuration of routes that is in force."""

    @abstractmethod
    async def read(self) -> RouteTable | None:
        """
        Return the newest configuration; None if there is none yet.

        Raises
        ------
        StoreUnavailableError
            The source does not answer.

        """
