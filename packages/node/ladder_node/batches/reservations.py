"""Slots of engines that are kept for texts on their way there."""

from dataclasses import dataclass

from ladder_core.timers import TimerService
from ladder_node.batches.engines import TrackedEngine

# A run stops within some milliseconds; a slot is not kept for longer if its
# task does not come back, for example because its batch has ended.
_RESERVATION_SECONDS = 1


@dataclass(frozen=True, slots=True)
class _Reservation:
    engine: TrackedEngine
    expires_at: float


class SlotReservations:
    """
    Keep a slot of another engine while a run stops at its present one.

    Parameters
    ----------
    timers : TimerService
        Clock on which reservations expire.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._reservations: dict[str, _Reservation] = {}

    def __contains__(self, key: str) -> bool:
        """Return whether a slot is kept for a task."""
        return key in self._reservations

    def add(
        self, key: str, engine: TrackedEngine, model: str, group: str
    ) -> None:
        """
        Keep a free slot of an engine for a task.

        Parameters
        ----------
        key : str
            Identifies the task among those of all batches.
        engine : TrackedEngine
            Engine with a free slot.
        model, group : str
            Model and group of the task.

        """
        engine.add_task(_make_slot_id(key), model, group)
        self._reservations[key] = _Reservation(
            engine, self._timers.now() + _RESERVATION_SECONDS
        )

    def release(self, key: str) -> TrackedEngine | None:
        """Free the slot of a task; return its engine, or None if none."""
        reservation = self._reservations.pop(key, None)
        if reservation is None:
            return None
        reservation.engine.remove_task(_make_slot_id(key))
        return reservation.engine

    def drop_expired(self) -> None:
        """Free the slots whose tasks did not come."""
        now = self._timers.now()
        for key, reservation in tuple(self._reservations.items()):
            if now >= reservation.expires_at:
                self.release(key)


def _make_slot_id(key: str) -> str:
    return f'reserved {key}'
