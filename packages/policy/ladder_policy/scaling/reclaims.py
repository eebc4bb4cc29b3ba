"""Memory of the data centres in which spot replicas were taken back."""

from collections.abc import Iterable

from ladder_policy.scaling.base import DataCentreState

# No spot replicas are to be had for 6 to 11 s after the last one has left.
_PAUSE_SECONDS = 12


class ReclaimMemory:
    """
    Remember for some time where the platform took spot replicas back.

    Examples
    --------
    >>> from ladder_policy.scaling.base import PoolState
    >>> memory = ReclaimMemory()
    >>> taken = DataCentreState('north', spot=PoolState(leaving=3, reclaimed=3))
    >>> memory.observe([taken], now=10)
    >>> memory.is_recent('north', now=20), memory.is_recent('north', now=23)
    (True, False)

    """

    def __init__(self) -> None:
        self._seen_at: dict[str, float] = {}

    def observe(
        self, data_centres: Iterable[DataCentreState], now: float
    ) -> None:
        """Update the memory by the present state."""
        for data_centre in data_centres:
            if data_centre.spot.reclaimed:
                self._seen_at[data_centre.name] = now

    def is_recent(self, data_centre: str, now: float) -> bool:
        """Return whether replicas were taken back a short time ago."""
        seen_at = self._seen_at.get(data_centre)
        return seen_at is not None and now - seen_at < _PAUSE_SECONDS
