"""Clients of the platform's weight store."""

from abc import ABC, abstractmethod

import msgspec

from ladder_clients.platform.calls import call_platform
from ladder_clients.transport import HttpClient
from ladder_core.messages import decode_json

_NOT_FOUND_STATUS = 404


class Weights(msgspec.Struct, frozen=True):
    """
    Newest published weights of a model.

    Attributes
    ----------
    model : str
        Name of the model.
    version : int
        Newest published version; zero if there is none.
    size_bytes : int
        Number of bytes that each replica has to fetch.
    bytes_per_second : float
        Rate limit of the store, shared by all replicas.

    """

    model: str
    version: int
    size_bytes: int = 0
    bytes_per_second: float = 0


class WeightStore(ABC):
    """Client that reads which weights are published; engines fetch them."""

    @abstractmethod
    async def read_newest(self, model: str) -> Weights:
        """
        Return the newest weights of a model.

        Raises
        ------
        StoreUnavailableError
            The store does not answer.

        """


class HttpWeightStore(WeightStore):
    """
    Client of the weight store over HTTP.

    Parameters
    ----------
    http : HttpClient
        Transport of the calls.
    address : str
        ``ip:port`` of the store.

    """

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._base = f'http://{address}/v1/models'

    async def read_newest(self, model: str) -> Weights:
        """Return the newest weights of a model."""
        url = f'{self._base}/{model}'
        response = await call_platform(self._http, 'GET', url)
        if response.status == _NOT_FOUND_STATUS:
            return Weights(model, 0)
        return decode_json(response.body, Weights)
