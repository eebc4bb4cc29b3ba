"""What the commands need while they run."""

import contextlib
from collections.abc import AsyncIterator

from ladder_clients.configuration import ConfigurationStore
from ladder_clients.table.http import HttpTableClient
from ladder_clients.transport import HttpClient


@contextlib.asynccontextmanager
async def open_http_client() -> AsyncIterator[HttpClient]:
    """Run an HTTP client."""
    http = HttpClient()
    await http.start()
    try:
        yield http
    finally:
        await http.close()


@contextlib.asynccontextmanager
async def open_configuration_store(
    address: str,
) -> AsyncIterator[ConfigurationStore]:
    """
    Open the rows of the lists.

    Parameters
    ----------
    address : str
        ``ip:port`` of the table service.

    """
    async with open_http_client() as http:
        yield ConfigurationStore(HttpTableClient(http, address))
