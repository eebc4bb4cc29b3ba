"""Probe that distinguishes a crashed process from a broken connection."""

import asyncio
from abc import ABC, abstractmethod

from ladder_clients.addresses import split_address
from ladder_core.timers import TimerService

_CONNECT_TIMEOUT_SECONDS = 1
_MAX_ATTEMPTS = 3
_RETRY_INTERVAL_SECONDS = 0.1


class TargetProbe(ABC):
    """Check of whether the process of a target has ended."""

    @abstractmethod
    async def is_gone(self, address: str) -> bool:
        """
        Return whether the host is up but no process listens at an address.

        Parameters
        ----------
        address : str
            ``ip:port`` of the target.

        """


class TcpProbe(TargetProbe):
    """
    Probe that opens a TCP connection and closes it without sending anything.

    Parameters
    ----------
    timers : TimerService
        Clock of the pauses between attempts.

    Notes
    -----
    Only a refused connection shows that the process has ended. A connection
    that cannot be made in time may be due to the network. The listening socket
    of a crashed process may stay open for a moment, so the probe makes up to
    three attempts.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers

    async def is_gone(self, address: str) -> bool:
        """Return whether one of the connections is refused."""
        for _ in range(_MAX_ATTEMPTS):
            try:
                host, port = split_address(address)
                async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                    _, writer = await asyncio.open_connection(host, port)
            except ConnectionRefusedError:
                return True
            except (OSError, TimeoutError, ValueError):
                return False
            writer.close()
            await self._timers.sleep(_RETRY_INTERVAL_SECONDS)
        return False
