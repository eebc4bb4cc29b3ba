"""The finished samples of a step."""

from collections.abc import Iterable

from ladder_core.values import Group, Sample
from ladder_node.steps.pool import SamplePlace
from ladder_node.steps.staleness import StalenessGuard


class SampleBoard:
    """
    Samples by group, until the trainer holds them.

    Parameters
    ----------
    groups : int
        Number of groups of the step.
    samples_per_group : int
        Number of samples of each group.

    """

    def __init__(self, groups: int, samples_per_group: int) -> None:
        self._size = samples_per_group
        self._groups: dict[int, dict[int, Sample]] = {
            index: {} for index in range(groups)
        }

    @property
    def groups(self) -> tuple[int, ...]:
        """The indexes of all groups."""
        return tuple(self._groups)

    def list_places(self, group: int) -> list[SamplePlace]:
        """Return all places of a group."""
        return [SamplePlace(group, index) for index in range(self._size)]

    def list_missing(self, group: int) -> list[SamplePlace]:
        """Return the places of a group that have no sample."""
        samples = self._groups[group]
        return [
            place
            for place in self.list_places(group)
            if place.index not in samples
        ]

    def add(self, group: int, sample: Sample) -> bool:
        """Keep a sample; return whether its group is whole now."""
        self._groups[group][sample.index] = sample
        return self.is_whole(group)

    def is_whole(self, group: int) -> bool:
        """Whether all samples of a group are there."""
        return len(self._groups[group]) == self._size

    def read(self, groups: Iterable[int]) -> tuple[Group, ...]:
        """Return those of some groups that are whole."""
        return tuple(
            self._make_group(index) for index in groups if self.is_whole(index)
        )

    def forget(self, group: int) -> None:
        """Drop the samples of a group."""
        self._groups[group].clear()

    def drop_stale(self, guard: StalenessGuard) -> list[SamplePlace]:
        """Drop the samples that are too old and return their places."""
        places = [
            SamplePlace(group, sample.index)
            for group, samples in self._groups.items()
            for sample in samples.values()
            if guard.is_stale(list(sample.spans))
        ]
        for place in places:
            self._groups[place.group].pop(place.index)
        return places

    def _make_group(self, index: int) -> Group:
        samples = self._groups[index]
        return Group(index, tuple(samples[each] for each in sorted(samples)))
