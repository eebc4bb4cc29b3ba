"""Buffer of the finished samples of a step."""

from collections.abc import Iterable

from ladder_core.values import Group, Sample
from ladder_node.steps.pool import SampleKey
from ladder_node.steps.staleness import StalenessGuard


class SampleBuffer:
    """
    Keep finished samples by group until the trainer holds the group.

    Parameters
    ----------
    groups : int
        Number of groups in the step; they are indexed from zero.
    samples_per_group : int
        Number of samples that make a group complete.

    """

    def __init__(self, groups: int, samples_per_group: int) -> None:
        self._samples_per_group = samples_per_group
        self._groups: dict[int, dict[int, Sample]] = {
            index: {} for index in range(groups)
        }

    @property
    def groups(self) -> tuple[int, ...]:
        """Indexes of all groups, complete or not."""
        return tuple(self._groups)

    def list_keys(self, group: int) -> list[SampleKey]:
        """Return the keys of all samples of a group."""
        return [
            SampleKey(group, index) for index in range(self._samples_per_group)
        ]

    def list_missing(self, group: int) -> list[SampleKey]:
        """Return the keys of the samples that a group still lacks."""
        samples = self._groups[group]
        return [
            key for key in self.list_keys(group) if key.index not in samples
        ]

    def add(self, group: int, sample: Sample) -> bool:
        """Add a sample; return whether its group is now complete."""
        self._groups[group][sample.index] = sample
        return self.is_complete(group)

    def is_complete(self, group: int) -> bool:
        """Whether all samples of a group are in the buffer."""
        return len(self._groups[group]) == self._samples_per_group

    def list_complete(self, groups: Iterable[int]) -> tuple[Group, ...]:
        """Return the complete groups among the given indexes."""
        return tuple(
            self._make_group(index)
            for index in groups
            if self.is_complete(index)
        )

    def discard(self, group: int) -> None:
        """Discard the samples of a group."""
        self._groups[group].clear()

    def drop_stale(self, guard: StalenessGuard) -> list[SampleKey]:
        """Discard samples beyond the staleness bound; return their keys."""
        keys = [
            SampleKey(group, sample.index)
            for group, samples in self._groups.items()
            for sample in samples.values()
            if guard.is_stale(list(sample.spans))
        ]
        for key in keys:
            self._groups[key.group].pop(key.index)
        return keys

    def _make_group(self, index: int) -> Group:
        samples = self._groups[index]
        return Group(index, tuple(samples[each] for each in sorted(samples)))
