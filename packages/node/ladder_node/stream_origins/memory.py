"""Bounded memory of the origins of streams."""

from collections import OrderedDict

import msgspec

from ladder_core.timers import TimerService

_MAX_ORIGINS = 10_000
# No caller waits longer for a stream, over all of its attempts.
RETENTION_SECONDS = 120
_MAX_ID_CHARACTERS = 200


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """
    Where a stream began.

    Attributes
    ----------
    service : str
        Service whose replica wrote the first event.
    software_id : str
        Identifies the software of that replica.

    """

    service: str
    software_id: str


class OriginMemory:
    """
    Remember the origins of streams by the attempt that began them.

    Parameters
    ----------
    timers : TimerService
        Clock by which origins are forgotten.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._origins: OrderedDict[str, tuple[float, StreamOrigin]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of origins."""
        return len(self._origins)

    def put(self, attempt: str, origin: StreamOrigin) -> None:
        """Remember an origin; the first one of an attempt stays."""
        self._forget_old()
        if len(attempt) > _MAX_ID_CHARACTERS:
            return
        self._origins.setdefault(attempt, (self._timers.now(), origin))
        if len(self._origins) > _MAX_ORIGINS:
            self._origins.popitem(last=False)

    def find(self, attempt: str) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not known."""
        self._forget_old()
        known = self._origins.get(attempt)
        return known[1] if known else None

    def _forget_old(self) -> None:
        oldest_allowed = self._timers.now() - RETENTION_SECONDS
        while self._origins:
            attempt = next(iter(self._origins))
            if self._origins[attempt][0] >= oldest_allowed:
                return
            self._origins.pop(attempt)
