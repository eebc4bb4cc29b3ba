"""Clients of the platform's list of live and leaving hosts."""

from abc import ABC, abstractmethod

from ladder_clients.platform.calls import call_platform
from ladder_clients.transport import HttpClient
from ladder_core.messages import decode_json
from ladder_core.values import HostEntry


class HostList(ABC):
    """Client of the host list, which lags behind the state of the hosts."""

    @abstractmethod
    async def read(self) -> tuple[HostEntry, ...]:
        """
        Return all entries.

        Raises
        ------
        StoreUnavailableError
            The platform does not answer.

        """


class HttpHostList(HostList):
    """
    Client of the host list over HTTP.

    Parameters
    ----------
    http : HttpClient
        Transport of the calls.
    address : str
        ``ip:port`` of the service that holds the list.

    """

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._url = f'http://{address}/v1/hosts'

    async def read(self) -> tuple[HostEntry, ...]:
        """Return all entries."""
        response = await call_platform(self._http, 'GET', self._url)
        return decode_json(response.body, tuple[HostEntry, ...])
