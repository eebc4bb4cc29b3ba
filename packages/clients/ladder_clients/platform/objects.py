"""Client of the platform's object store."""

from urllib.parse import quote

from ladder_clients.objects import ObjectStore
from ladder_clients.platform.calls import call_platform
from ladder_clients.transport import HttpClient

_NOT_FOUND_STATUS = 404


class HttpObjectStore(ObjectStore):
    """
    Client of the object store over HTTP.

    Parameters
    ----------
    http : HttpClient
        Transport of the calls.
    address : str
        ``ip:port`` of the store.

    """

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._base = f'http://{address}/v1/objects'

    async def put(self, name: str, body: bytes) -> None:
        """Store an object; replace an earlier one of the same name."""
        await call_platform(self._http, 'PUT', self._make_url(name), body)

    async def get(self, name: str) -> bytes | None:
        """Return the content of an object, or None if it is absent."""
        response = await call_platform(self._http, 'GET', self._make_url(name))
        return None if response.status == _NOT_FOUND_STATUS else response.body

    async def delete(self, name: str) -> None:
        """Delete an object; do nothing if it is absent."""
        await call_platform(self._http, 'DELETE', self._make_url(name))

    def _make_url(self, name: str) -> str:
        return f'{self._base}/{quote(name, safe="")}'
