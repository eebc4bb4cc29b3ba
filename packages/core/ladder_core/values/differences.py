"""What differs between two revisions of the operators' lists."""

from dataclasses import dataclass, fields
from enum import StrEnum

from ladder_core.values.lists import Allowance, Lists, Plan


class DifferenceKind(StrEnum):
    """What became of an entry."""

    added = 'added'
    removed = 'removed'
    changed = 'changed'


@dataclass(frozen=True, slots=True)
class Difference:
    """
    One entry that differs.

    Attributes
    ----------
    kind : DifferenceKind
        What became of it.
    entry : str
        ``plan`` or ``allowance``, and the name of the plan.
    details : tuple of str
        The changed fields, each with its old and new value.

    Examples
    --------
    >>> kind = DifferenceKind.changed
    >>> str(Difference(kind, 'plan notes', ('weighs: idle -> staleness',)))
    'plan notes changed (weighs: idle -> staleness)'

    """

    kind: DifferenceKind
    entry: str
    details: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Say what became of the entry, on one line."""
        if self.details:
            return f'{self.entry} {self.kind} ({", ".join(self.details)})'
        return f'{self.entry} {self.kind}'


def compare_lists(old: Lists, new: Lists) -> tuple[Difference, ...]:
    """
    Compare two revisions entry by entry.

    Parameters
    ----------
    old, new : Lists
        The two revisions.

    Returns
    -------
    tuple of Difference
        Entries that differ, by name; their order in the files is no matter.

    """
    before = _index_entries(old)
    after = _index_entries(new)
    names = sorted(before.keys() | after.keys())
    return tuple(
        _compare_entry(name, before.get(name), after.get(name))
        for name in names
        if before.get(name) != after.get(name)
    )


def _index_entries(lists: Lists) -> dict[str, Plan | Allowance]:
    entries: dict[str, Plan | Allowance] = {}
    for plan in lists.plans:
        entries[f'plan {plan.name}'] = plan
    for allowance in lists.allowances:
        entries[f'allowance {allowance.plan}'] = allowance
    return entries


def _compare_entry(
    name: str,
    old: Plan | Allowance | None,
    new: Plan | Allowance | None,
) -> Difference:
    if old is None:
        return Difference(DifferenceKind.added, name)
    if new is None:
        return Difference(DifferenceKind.removed, name)
    details = tuple(
        f'{field.name}: {_format(old, field.name)} -> {_format(new, field.name)}'
        for field in fields(old)
        if getattr(old, field.name) != getattr(new, field.name)
    )
    return Difference(DifferenceKind.changed, name, details)


def _format(entry: Plan | Allowance, field: str) -> str:
    shown = getattr(entry, field)
    if isinstance(shown, tuple):
        return ' '.join(shown) or 'none'
    return f'{shown}'
