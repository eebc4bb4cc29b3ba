"""The parts of the quarantine of one node, started and closed together."""

from collections.abc import Sequence

from ladder_clients.probes import TargetProbe, TcpProbe
from ladder_clients.table import PartitionedTableClient
from ladder_core.supervision import Component, Supervisor
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.feeds import TableFollower
from ladder_node.quarantine.base import RunGuard
from ladder_node.quarantine.detector import CrashDetector
from ladder_node.quarantine.guard import QuarantineGuard
from ladder_node.quarantine.peers import EvidenceRow, EvidenceSender
from ladder_node.quarantine.rows import CrashRows
from ladder_node.quarantine.verdicts import RequestVerdicts
from ladder_node.quarantine.writer import CRASHES_TABLE, EvidenceWriter
from ladder_node.replicas import ReplicaRegistry

# All nodes follow the table, whose rows seldom change.
_POLL_SECONDS = 3


class Quarantine(Component):
    """
    Detect crashes of replicas under requests, and share them with all nodes.

    Parameters
    ----------
    registry : ReplicaRegistry
        Replicas that this node knows.
    table : PartitionedTableClient
        Table service through which the nodes share what they observe.
    sender : EvidenceSender
        Sends evidence to the other nodes while the table is unavailable.
    node : str
        Name of this node.
    timers : TimerService
        Clock of all parts.
    timeline : Timeline
        Records each crash and each change of a verdict.
    probe : TargetProbe, optional
        Distinguishes a crashed process from a broken connection; a `TcpProbe`
        by default.

    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        table: PartitionedTableClient,
        sender: EvidenceSender,
        node: str,
        timers: TimerService,
        timeline: Timeline,
        probe: TargetProbe | None = None,
    ) -> None:
        verdicts = RequestVerdicts(node, timers, timeline)
        writer = EvidenceWriter(table, sender, timers)
        rows = CrashRows(table, verdicts, writer, node, timers)
        detector = CrashDetector(
            registry, probe or TcpProbe(timers), timers, timeline
        )
        self._detector = detector
        self._guard = QuarantineGuard(
            detector, verdicts, rows, node, timers, timeline
        )
        self._rows = rows
        self._parts = Supervisor('quarantine', timers)
        self._parts.add(writer)
        self._parts.add(rows)
        self._parts.add(detector)
        self._parts.add(
            TableFollower(
                table, CRASHES_TABLE, rows, timers, timeline, _POLL_SECONDS
            )
        )

    @property
    def guard(self) -> RunGuard:
        """The guard of the requests of callers."""
        return self._guard

    @property
    def detector(self) -> CrashDetector:
        """Detects the crashes under all runs, guarded or not."""
        return self._detector

    def receive(self, rows: Sequence[EvidenceRow]) -> None:
        """Apply evidence that another node has sent directly."""
        self._rows.receive(rows)

    async def start(self) -> None:
        """Start to detect crashes and to share them."""
        await self._parts.start()

    async def close(self) -> None:
        """Stop all parts."""
        await self._parts.close()
