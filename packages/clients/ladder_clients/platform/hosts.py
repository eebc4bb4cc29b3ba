"""The platform's list of live and leaving hosts."""

from abc import ABC, abstractmethod

import msgspec

from ladder_clients.platform.calls import call_platform
from ladder_clients.transport import HttpClient
from ladder_core.values import HostEntry


class HostList(ABC):
    """Reads the platform's host list, which lags."""

    @abstractmethod
    async def read(self) -> tuple[HostEntry, ...]:
        """
        Return all entries.

        Raises
        ------
        StoreUnavailableError
            The list can't be read now.

        """


class HttpHostList(HostList):
    """
    The host list over HTTP.

    Parameters
    ----------
    http : HttpClient
        Transport.
    address : str
        ``ip:port`` of the list.

    """

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._url = f'http://{address}/v1/hosts'

    async def read(self) -> tuple[HostEntry, ...]:
        """Return all entries."""
        answer = await call_platform(self._http, 'GET', self._url)
        return msgspec.json.decode(answer.body, type=tuple[HostEntry, ...])
