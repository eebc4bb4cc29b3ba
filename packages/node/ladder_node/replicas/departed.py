"""Memory of replica processes that are leaving."""

from collections import OrderedDict
from dataclasses import replace

from ladder_core.values import Replica

_MAX_PROCESSES = 1024


class DepartedProcesses:
    """
    Remember processes that said that they leave.

    A process is named by the name of its replica and its start, so another one
    under the same name is not concerned. The oldest of many are forgotten.

    Examples
    --------
    >>> departed = DepartedProcesses()
    >>> replica = Replica('r', 'app', '10.0.0.1:80', 'dc', 6, started_at=5)
    >>> departed.add(replica)
    >>> replica in departed, replace(replica, started_at=9) in departed
    (True, False)
    >>> departed.correct(replica).is_leaving
    True

    """

    def __init__(self) -> None:
        self._processes: OrderedDict[tuple[str, int], None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of processes."""
        return len(self._processes)

    def __contains__(self, replica: Replica) -> bool:
        """Return whether the process of a replica said that it leaves."""
        return (replica.name, replica.started_at) in self._processes

    def add(self, replica: Replica) -> None:
        """Add the process of a replica."""
        self._processes[replica.name, replica.started_at] = None
        if len(self._processes) > _MAX_PROCESSES:
            self._processes.popitem(last=False)

    def correct(self, replica: Replica) -> Replica:
        """Return a replica as leaving if its process said so."""
        return replace(replica, is_leaving=True) if replica in self else replica
