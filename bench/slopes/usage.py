"""What a node spends."""

import os
from dataclasses import dataclass
from pathlib import Path

_MILLISECONDS_PER_SECOND = 1000
_BYTES_PER_MEGABYTE = 1_000_000
_USER_TIME = 11
_SYSTEM_TIME = 12


@dataclass(frozen=True, slots=True)
class Usage:
    """
    What one node spends.

    Attributes
    ----------
    cpu : float
        Milliseconds of processor time a second.
    memory : float
        Megabytes resident.
    reads, writes : float
        Requests to the table service a second.
    control_bytes : float
        Bytes a second of the platform's services and of engine states.
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
    # The name in brackets may hold spaces; fields are counted behind it.
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_TIME]) + int(fields[_SYSTEM_TIME])
    return ticks * _MILLISECONDS_PER_SECOND / os.sysconf('SC_CLK_TCK')


def read_memory(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / _BYTES_PER_MEGABYTE
