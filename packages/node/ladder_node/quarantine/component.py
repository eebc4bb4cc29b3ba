"""The parts of the quarantine of one node, started and closed together."""

from ladder_clients.transport import TcpProbe
from ladder_core.supervision import Component
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.quarantine.base import RunGuard, UnlimitedRuns
from ladder_node.quarantine.detector import CrashDetector
from ladder_node.replicas import ReplicaRegistry


class Quarantine(Component):
    """
    Detect crashes of replicas under requests.

    Parameters
    ----------
    registry : ReplicaRegistry
        Replicas that this node knows.
    timers : TimerService
        Clock of all parts.
    timeline : Timeline
        Records each crash.

    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._detector = CrashDetector(
            registry, TcpProbe(timers), timers, timeline
        )
        self._guard = UnlimitedRuns(self._detector)

    @property
    def guard(self) -> RunGuard:
        """The guard of all runs at replicas."""
        return self._guard

    async def start(self) -> None:
        """Start the detection."""
        await self._detector.start()

    async def close(self) -> None:
        """Stop the detection."""
        await self._detector.close()
