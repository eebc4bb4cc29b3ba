"""Resource usage of a node."""

import os
from dataclasses import dataclass
from pathlib import Path

_MILLISECONDS_PER_SECOND = 1000
_BYTES_PER_MEGABYTE = 1_000_000
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12


@dataclass(frozen=True, slots=True)
class Usage:
    """
    Resource usage of one node.

    Attributes
    ----------
    cpu : float
        Processor time in milliseconds a second.
    memory : float
        Resident memory in megabytes.
    reads, writes : float
        Requests to the table service a second.
    control_bytes : float
        Bytes a second of the services of the platform and of engine states.
    peer_bytes : float
        Bytes a second of messages between nodes.

    """

    cpu: float = 0
    memory: float = 0
    reads: float = 0
    writes: float = 0
    control_bytes: float = 0
    peer_bytes: float = 0


def read_cpu(pid: int) -> float:
    """Return the processor time of a process in milliseconds."""
    stat = Path(f'/proc/{pid}/stat').read_text()
    # The process name in parentheses may contain spaces, so the fields are
    # counted after it.
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    return ticks * _MILLISECONDS_PER_SECOND / os.sysconf('SC_CLK_TCK')


def read_memory(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / _BYTES_PER_MEGABYTE
