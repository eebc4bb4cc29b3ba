"""Produce the samples of a step and keep them until they are held."""

from collections.abc import Callable, Iterable

from ladder_core.errors import (
    ForbiddenError,
    LadderError,
    PoisonousRequestError,
)
from ladder_core.supervision import Service
from ladder_core.timers import TimerService
from ladder_core.values import Group, Sample
from ladder_node.steps.board import SampleBoard
from ladder_node.steps.capacity import Places
from ladder_node.steps.errors import StaleSampleError
from ladder_node.steps.events import StepEvents
from ladder_node.steps.handover import GroupFailure, HeldGroups
from ladder_node.steps.pool import SamplePlace, SamplePool
from ladder_node.steps.races import SampleRace
from ladder_node.steps.sampler import Draft, SampleMaker
from ladder_node.steps.signal import Signal
from ladder_node.steps.spec import StepSpec
from ladder_node.steps.staleness import StalenessGuard
from ladder_node.steps.watch import StragglerWatch

_RETRY_SECONDS = 0.5
_MAX_DOUBLINGS = 3
_FINAL_ERRORS = (PoisonousRequestError, ForbiddenError)


class StepProduction(Service):
    """
    Run the samples of one step until the trainer holds its groups.

    Parameters
    ----------
    spec : StepSpec
        What to produce.
    maker : SampleMaker
        Generates and scores.
    watch : StragglerWatch
        Hedges stragglers; started and closed with the production.
    count_places : callable
        Returns the places of the engines.
    timers : TimerService
        Source of time.
    events : StepEvents
        Takes what happens.

    """

    def __init__(
        self,
        spec: StepSpec,
        maker: SampleMaker,
        watch: StragglerWatch,
        count_places: Callable[[], Places],
        timers: TimerService,
        events: StepEvents,
    ) -> None:
        self._maker = maker
        self._timers = timers
        self._events = events
        self._guard = StalenessGuard()
        self._board = SampleBoard(len(spec.prompts), spec.samples_per_group)
        self._watch = watch
        self._pool = SamplePool(
            self._run_place,
            lambda: count_places().limit,
            timers,
        )
        watch.observe(self._pool)
        self._attempts: dict[SamplePlace, int] = {}
        self._failures: dict[int, LadderError] = {}
        self._changes = Signal(timers)

    @property
    def changes(self) -> Signal:
        """Notified when a group is whole or given up."""
        return self._changes

    @property
    def guard(self) -> StalenessGuard:
        """The versions that the trainer stated."""
        return self._guard

    async def start(self) -> None:
        """Begin to produce all groups."""
        self.hold(HeldGroups())
        await self._pool.start()
        await self._watch.start()

    async def close(self) -> None:
        """Cancel what runs."""
        await self._watch.close()
        await self._pool.close()

    def hold(self, held: HeldGroups) -> None:
        """
        Stop work on held groups, and resume it on those that are not.

        Parameters
        ----------
        held : HeldGroups
            What the trainer holds now; one that lost groups gets them again.

        """
        for index in self._board.groups:
            if held.has(index):
                self._release(index)
            elif index not in self._failures:
                for place in self._board.list_missing(index):
                    self._pool.submit(place)

    def restore(self, groups: Iterable[Group]) -> None:
        """Take over groups that an earlier run finished; call before start."""
        for group in groups:
            for sample in group.samples:
                self._board.add(group.index, sample)

    def drop_stale(self) -> None:
        """Drop samples that are too old and begin to generate them again."""
        for place in self._board.drop_stale(self._guard):
            self._note_stale(place)
            self._pool.submit(place)

    def read_groups(self, lacking: Iterable[int]) -> tuple[Group, ...]:
        """Return those of some groups that are whole."""
        return self._board.read(lacking)

    def list_failures(self, lacking: Iterable[int]) -> tuple[GroupFailure, ...]:
        """Return those of some groups that will not come."""
        return tuple(
            GroupFailure(index, self._failures[index])
            for index in lacking
            if index in self._failures
        )

    def _release(self, group: int) -> None:
        self._board.forget(group)
        for place in self._board.list_places(group):
            self._pool.withdraw(place)

    async def _run_place(self, place: SamplePlace) -> None:
        try:
            sample = await self._produce(place)
        except _FINAL_ERRORS as error:
            self._failures[place.group] = error
            self._release(place.group)
            self._events.note_given_up(place.group, error)
            self._changes.notify()
            return
        self._events.note_finished()
        if self._board.add(place.group, sample):
            self._changes.notify()

    async def _produce(self, place: SamplePlace) -> Sample:
        draft = Draft(place, self._attempts.get(place, 0))
        failures = 0
        while True:
            try:
                return await self._race(draft)
            except _FINAL_ERRORS:
                raise
            except Exception as error:
                # A defect must not end the step, so it is tried again too.
                self._note_failure(draft, error)
            failures += 1
            await self._timers.sleep(_compute_delay(failures))

    async def _race(self, draft: Draft) -> Sample:
        draft.missing = len(self._board.list_missing(draft.place.group))
        race = SampleRace(
            lambda run: self._maker.make(run, self._guard),
            draft,
        )
        with self._watch.follow(draft.place, race) as taken:
            sample = await race.run()
            taken.append(sample)
        return sample

    def _note_failure(self, draft: Draft, error: Exception) -> None:
        if isinstance(error, StaleSampleError):
            self._note_stale(draft.place)
            draft.attempt = self._attempts[draft.place]
        else:
            self._events.note_failure(draft.place, error)

    def _note_stale(self, place: SamplePlace) -> None:
        self._attempts[place] = self._attempts.get(place, 0) + 1
        self._events.note_stale(place, self._guard)


def _compute_delay(failures: int) -> float:
    doublings = min(failures - 1, _MAX_DOUBLINGS)
    return _RETRY_SECONDS * (1 << doublings)
