"""Interface of clients of the cloud interface."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from ladder_clients.cloud.messages import (
    CallOutcome,
    DutyHolder,
    ReplicaOrder,
)


class CloudClient(ABC):
    """
    Client that makes the calls of duties from this host.

    A call is made at most once, and its failures are returned, not raised.
    """

    @abstractmethod
    async def report_usage(
        self, holder: DutyHolder, window: int, counts: Mapping[str, int]
    ) -> CallOutcome:
        """
        Report the requests of each organisation in one window.

        Parameters
        ----------
        holder : DutyHolder
            Holder of the duty, whose lease is valid.
        window : int
            Number of the window since the start of 1970.
        counts : mapping of str to int
            Number of requests by organisation. All reports of one window
            have the same counts.

        """

    @abstractmethod
    async def order_replicas(
        self, holder: DutyHolder, order: ReplicaOrder
    ) -> CallOutcome:
        """
        Set the number of replicas of a service in a data centre.

        Parameters
        ----------
        holder : DutyHolder
            Holder of the duty, whose lease is valid.
        order : ReplicaOrder
            The number to set.

        """
