"""Roles that are measured in this process, without a node."""

import time
import tracemalloc

from bench.slopes.role import Role, Scale
from bench.slopes.usage import Usage
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import SystemTimerService
from ladder_node.peers.members import PeerMember, choose_peers

_DATA_CENTRE_COUNT = 11
_ITERATIONS = 20
_STEP_SECONDS = 240
_BYTES_PER_MEGABYTE = 1_000_000
_MILLISECONDS_PER_SECOND = 1000


class PeerChoiceRole(Role):
    """Choice of gossip peers, which a node makes once a second."""

    title = 'choice of peers'
    scale = Scale('peers', (90, 180, 359), 359)

    async def measure(self, size: float) -> Usage:
        """Choose peers among a number of members and return the usage."""
        members = [
            PeerMember(
                'region',
                f'centre-{number % _DATA_CENTRE_COUNT}',
                f'n-{number}',
                '',
            )
            for number in range(int(size) + 1)
        ]
        started_at = time.process_time()
        for _ in range(_ITERATIONS):
            choose_peers(members[0], members[1:])
        cpu_seconds = time.process_time() - started_at
        return Usage(cpu=cpu_seconds / _ITERATIONS * _MILLISECONDS_PER_SECOND)


class TimelineRole(Role):
    """Timeline events that a node keeps in memory."""

    title = 'time line'
    scale = Scale('events in 240 s', (1024, 2048, 4096), 4096)

    async def measure(self, size: float) -> Usage:
        """Record a number of events and return the usage."""
        timers = SystemTimerService()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        timeline = Timeline('node', HybridClock(timers), int(size))
        for number in range(int(size)):
            timeline.record('sample-finished', f'notes/{number}', version=1)
        memory = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        return Usage(
            cpu=_time_records(timeline, int(size)) / _STEP_SECONDS,
            memory=memory / _BYTES_PER_MEGABYTE,
        )


def _time_records(timeline: Timeline, size: int) -> float:
    """Return the processor time of recording events, in milliseconds."""
    started_at = time.process_time()
    for number in range(size):
        timeline.record('sample-finished', f'notes/{number}', version=1)
    return (time.process_time() - started_at) * _MILLISECONDS_PER_SECOND
