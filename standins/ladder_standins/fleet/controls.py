"""HTTP requests of tests and benchmarks to the processes of a fleet."""

import asyncio

import aiohttp
import msgspec

from ladder_core.values import HostEntry
from ladder_standins.faults import Fault
from ladder_standins.fleet.processes import ProcessGroup

_WAIT_TIMEOUT_SECONDS = 30
_POLL_INTERVAL_SECONDS = 0.05


class Controls:
    """
    Control the stand-ins and nodes of a fleet over HTTP.

    Parameters
    ----------
    processes : ProcessGroup
        Group of the processes, which knows their addresses.

    """

    def __init__(self, processes: ProcessGroup) -> None:
        self._processes = processes

    async def add_host(self, entry: HostEntry) -> None:
        """Add or replace an entry of the platform's host list."""
        await self.send('hosts', 'PUT', '/v1/hosts', entry)

    async def remove_host(self, name: str) -> None:
        """Remove an entry from the platform's host list."""
        await self.send('hosts', 'DELETE', f'/v1/hosts/{name}')

    async def publish(self, model: str, version: int) -> None:
        """Publish a weight version of a model in the weight store."""
        path = f'/v1/models/{model}'
        await self.send('weights', 'POST', path, {'version': version})

    async def add_fault(self, name: str, fault: Fault) -> None:
        """Put a fault in force at a stand-in."""
        await self.send(name, 'POST', '/faults', fault)

    async def wait_for_success(self, name: str, path: str) -> None:
        """Wait until a GET request for a path of a process succeeds."""
        async with asyncio.timeout(_WAIT_TIMEOUT_SECONDS):
            while not await self._is_answering(name, path):
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    async def send(
        self,
        name: str,
        method: str,
        path: str,
        message: object = None,
    ) -> bytes:
        """
        Send a JSON message to a process.

        Parameters
        ----------
        name : str
            Name of the process in its group.
        method, path : str
            Method and path of the HTTP request.
        message : object, optional
            Value that is encoded as the JSON body.

        Returns
        -------
        bytes
            Body of the response.

        """
        url = f'http://{self._processes.find_address(name)}{path}'
        body = msgspec.json.encode(message)
        async with aiohttp.request(method, url, data=body) as response:
            response.raise_for_status()
            return await response.read()

    async def _is_answering(self, name: str, path: str) -> bool:
        try:
            await self.send(name, 'GET', path)
        except aiohttp.ClientError:
            return False
        return True
