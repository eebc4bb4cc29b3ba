"""Clients that the commands use."""

import contextlib
from collections.abc import AsyncIterator

from ladder_clients.configuration import ConfigurationStore
from ladder_clients.table.http import HttpTableClient
from ladder_clients.transport import HttpClient


@contextlib.asynccontextmanager
async def open_http_client() -> AsyncIterator[HttpClient]:
    """Start an HTTP client, and close it at the end."""
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
    Open the operators' lists in the table service.

    Parameters
    ----------
    address : str
        ``ip:port`` of the table service that stores the lists.

    """
    async with open_http_client() as http:
        yield ConfigurationStore(HttpTableClient(http, address))
