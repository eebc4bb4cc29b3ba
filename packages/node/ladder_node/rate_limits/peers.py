"""Applications for permits between nodes."""

from abc import ABC, abstractmethod

from ladder_node.peer_calls import PeerCaller
from ladder_node.rate_limits.issuer import PermitApplication, PermitReply

PERMIT_PATH = '/v1/permits'
# Two exchanges between distant regions, and some time for a busy node.
_TIMEOUT_SECONDS = 0.25


class PermitSender(ABC):
    """Sends applications to the node that issues the permits."""

    @abstractmethod
    async def send(
        self, address: str, application: PermitApplication
    ) -> PermitReply | None:
        """
        Send an application, and return the reply.

        Parameters
        ----------
        address : str
            ``ip:port`` at which the issuer accepts other nodes.
        application : PermitApplication
            The application.

        Returns
        -------
        PermitReply or None
            The reply; None if there is none in time.

        """


class HttpPermitSender(PermitSender):
    """
    Send applications over HTTP.

    Parameters
    ----------
    caller : PeerCaller
        Calls other nodes.

    """

    def __init__(self, caller: PeerCaller) -> None:
        self._caller = caller

    async def send(
        self, address: str, application: PermitApplication
    ) -> PermitReply | None:
        """Send an application, and return the reply."""
        return await self._caller.call(
            address, PERMIT_PATH, application, PermitReply, _TIMEOUT_SECONDS
        )
