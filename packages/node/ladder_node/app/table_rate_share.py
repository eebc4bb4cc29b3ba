"""Keep a node within its share of the table service's rate limits."""

from ladder_clients.table import TableAdmission
from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.targets import TargetTable

_UPDATE_INTERVAL_SECONDS = 5


class TableRateShare(Component):
    """
    Divide the table service's rate limits by the number of live nodes.

    Parameters
    ----------
    admission : TableAdmission
        Rate limits of this node's calls, set to the share.
    targets : TargetTable
        Provides the number of live entry hosts.
    timers : TimerService
        Clock, delays and periodic callbacks.

    """

    def __init__(
        self,
        admission: TableAdmission,
        targets: TargetTable,
        timers: TimerService,
    ) -> None:
        self._admission = admission
        self._targets = targets
        self._timers = timers
        self._periodic_call: PeriodicCall | None = None

    async def start(self) -> None:
        """Set the share now, then update it periodically."""
        await self._update_share()
        self._periodic_call = self._timers.call_periodically(
            _UPDATE_INTERVAL_SECONDS,
            self._update_share,
        )

    async def close(self) -> None:
        """Stop updating the share."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None

    async def _update_share(self) -> None:
        self._admission.set_node_count(len(self._targets.entry_hosts))
