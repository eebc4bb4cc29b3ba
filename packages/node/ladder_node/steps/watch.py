"""Watch the samples in flight and hedge stragglers."""

import contextlib
import statistics
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ladder_core.supervision import Service
from ladder_core.timers import Subscription, TimerService
from ladder_core.values import Sample
from ladder_node.steps.capacity import Places
from ladder_node.steps.events import StepEvents
from ladder_node.steps.pool import SamplePlace, SamplePool
from ladder_node.steps.races import SampleRace
from ladder_policy.stragglers import (
    RunningSample,
    StepProgress,
    StragglerPolicy,
)

_PERIOD_SECONDS = 0.25
_KEPT_SAMPLES = 256


@dataclass(frozen=True, slots=True)
class _Entry:
    race: SampleRace
    begun: float


class StragglerWatch(Service):
    """
    Ask a policy periodically which samples get a second run.

    Parameters
    ----------
    policy : StragglerPolicy
        Decides.
    count_places : callable
        Returns the places of the engines.
    timers : TimerService
        Source of time.
    events : StepEvents
        Takes each hedge.

    """

    def __init__(
        self,
        policy: StragglerPolicy,
        count_places: Callable[[], Places],
        timers: TimerService,
        events: StepEvents,
    ) -> None:
        self._policy = policy
        self._count_places = count_places
        self._timers = timers
        self._events = events
        self._entries: dict[SamplePlace, _Entry] = {}
        self._finished: deque[RunningSample] = deque(maxlen=_KEPT_SAMPLES)
        self._pool: SamplePool | None = None
        self._subscription: Subscription | None = None

    def observe(self, pool: SamplePool) -> None:
        """Name the pool whose samples are watched; call before start."""
        self._pool = pool

    async def start(self) -> None:
        """Begin to watch."""
        self._subscription = self._timers.subscribe(
            _PERIOD_SECONDS,
            self.review,
        )

    async def close(self) -> None:
        """Stop watching."""
        if self._subscription is not None:
            await self._subscription.close()
            self._subscription = None

    @contextlib.contextmanager
    def follow(
        self,
        place: SamplePlace,
        race: SampleRace,
    ) -> Iterator[list[Sample]]:
        """
        Count a race as in flight.

        Yields
        ------
        list of Sample
            Takes the sample that the race ends with.

        """
        taken: list[Sample] = []
        entry = _Entry(race, self._timers.now())
        self._entries[place] = entry
        try:
            yield taken
        finally:
            if self._entries.get(place) is entry:
                self._entries.pop(place)
        self._note_finished(place, entry, taken)
        if race.is_won_by_hedge:
            self._events.note_hedge_won(place)

    async def review(self) -> None:
        """Hedge what the policy chooses."""
        if self._pool is None:
            return
        for sample in self._policy.choose(self._read_progress(self._pool)):
            place = SamplePlace(sample.group, sample.index)
            self._entries[place].race.hedge()
            self._events.note_hedged(place)

    def _note_finished(
        self,
        place: SamplePlace,
        entry: _Entry,
        taken: list[Sample],
    ) -> None:
        seconds = self._timers.now() - entry.begun
        spans = (span for sample in taken for span in sample.spans)
        tokens = sum(span.tokens for span in spans)
        self._finished.append(
            RunningSample(place.group, place.index, seconds, tokens),
        )

    def _read_progress(self, pool: SamplePool) -> StepProgress:
        now = self._timers.now()
        running = tuple(
            RunningSample(
                place.group,
                place.index,
                now - entry.begun,
                entry.race.tokens,
                entry.race.runs,
            )
            for place, entry in self._entries.items()
        )
        busy = sum(sample.runs for sample in running)
        finished = self._finished or (RunningSample(0, 0, 0),)
        idle = self._count_places().engines - busy
        return StepProgress(
            pool.waiting,
            idle,
            statistics.median(sample.seconds for sample in finished),
            statistics.median(sample.rate for sample in finished),
            running,
        )
