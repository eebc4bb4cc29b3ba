"""Tell a crashed process from a broken connection."""

import asyncio
from abc import ABC, abstractmethod

from ladder_core.timers import TimerService

_CONNECT_SECONDS = 1
_ATTEMPTS = 3
_PAUSE_SECONDS = 0.1


class TargetProbe(ABC):
    """Looks whether a target's process is gone."""

    @abstractmethod
    async def is_gone(self, address: str) -> bool:
        """
        Return whether the host is up and nothing listens there any more.

        Parameters
        ----------
        address : str
            ``ip:port`` of the target.

        """


class TcpProbe(TargetProbe):
    """
    Make a connection and close it without sending anything.

    Parameters
    ----------
    timers : TimerService
        Source of time.

    Notes
    -----
    Only a refused connection counts: a connection that cannot be made in
    time may be the network's fault. A process that crashed may hold its
    listening socket for a moment longer, so the probe is repeated.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers

    async def is_gone(self, address: str) -> bool:
        """Return whether the connection is refused."""
        host, _, port = address.rpartition(':')
        for _ in range(_ATTEMPTS):
            try:
                async with asyncio.timeout(_CONNECT_SECONDS):
                    _, writer = await asyncio.open_connection(host, int(port))
            except ConnectionRefusedError:
                return True
            except (OSError, TimeoutError):
                return False
            writer.close()
            await self._timers.sleep(_PAUSE_SECONDS)
        return False
