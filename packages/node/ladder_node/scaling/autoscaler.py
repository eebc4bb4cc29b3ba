"""Orders of replicas while this node holds a lease."""

from ladder_node.leases import Lease
from ladder_node.scaling.demand import DemandSource
from ladder_node.scaling.tenure import ScalingDependencies, ScalingTenure
from ladder_node.singleton_duties import DutyCalls, DutyLostError


class Autoscaler:
    """
    Order replicas by the demand that the holder of a lease knows.

    Parameters
    ----------
    dependencies : ScalingDependencies
        Components of the node.

    """

    def __init__(self, dependencies: ScalingDependencies) -> None:
        self._dependencies = dependencies

    async def run(self, lease: Lease, source: DemandSource) -> None:
        """
        Order replicas until the lease is lost.

        Explanation
        -----------
        The first order waits until the calls of an earlier holder have taken
        effect, on whichever host that was.

        Parameters
        ----------
        lease : Lease
            Lease whose epoch is the token of all orders.
        source : DemandSource
            Knows the demand of the services.

        Raises
        ------
        DutyLostError
            No more orders may be made under the lease.

        """
        wait_seconds = self._dependencies.handover_seconds
        calls = DutyCalls(
            self._dependencies.node,
            lease,
            self._dependencies.timers,
            wait_seconds,
            wait_seconds,
        )
        try:
            await ScalingTenure(self._dependencies, calls, source).run()
        except* DutyLostError as lost:
            raise DutyLostError(
                f'orders of replicas end: {lost.exceptions[0]}',
                remedy='wait until this node acquires the lease again',
            ) from lost
