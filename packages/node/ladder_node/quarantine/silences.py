"""Processes that fell silent under a request and were no longer listed."""

from collections import OrderedDict
from collections.abc import Collection

_MAX_REQUESTS = 4096
# One silent process may be behind a network partition by chance.
_MIN_PROCESSES = 2


class SilentEnds:
    """
    Count the silent ends of processes by request.

    Examples
    --------
    >>> ends = SilentEnds()
    >>> ends.add('a', 'r1@5'), ends.add('a', 'r1@5'), ends.add('b', 'r2@5')
    ((), (), ())
    >>> sorted(ends.add('a', 'r2@5')), ends.add('a', 'r3@5')
    (['r1@5', 'r2@5'], ('r3@5',))
    >>> ends.clear('a')
    >>> ends.add('a', 'r4@5')
    ()

    """

    def __init__(self) -> None:
        self._processes: OrderedDict[str, set[str]] = OrderedDict()

    def add(self, request: str, process: str) -> Collection[str]:
        """
        Add a process, and return those that now count as ended by a request.

        Parameters
        ----------
        request : str
            Digest of the request that the process did not answer.
        process : str
            Name of the process.

        """
        processes = self._processes.setdefault(request, set())
        self._processes.move_to_end(request)
        if len(self._processes) > _MAX_REQUESTS:
            self._processes.popitem(last=False)
        if process in processes:
            return ()
        processes.add(process)
        if len(processes) < _MIN_PROCESSES:
            return ()
        return (
            tuple(processes) if len(processes) == _MIN_PROCESSES else (process,)
        )

    def clear(self, request: str) -> None:
        """Forget the processes of a request that got a response."""
        self._processes.pop(request, None)
