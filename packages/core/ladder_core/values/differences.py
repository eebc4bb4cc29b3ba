"""Differences between two revisions of the operators' lists."""

from dataclasses import dataclass, fields
from enum import StrEnum

from ladder_core.values.lists import Allowance, Lists, Plan


class DifferenceKind(StrEnum):
    """How an entry differs between two revisions."""

    added = 'added'
    removed = 'removed'
    changed = 'changed'


@dataclass(frozen=True, slots=True)
class Difference:
    """
    Entry that differs between two revisions.

    Attributes
    ----------
    kind : DifferenceKind
        Whether the entry was added, removed or changed.
    entry : str
        Type of the entry, ``plan`` or ``allowance``, and the name of the plan.
    details : tuple of str
        Changed fields, each with its old and new value; empty for an entry
        that was added or removed.

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
        """Return the difference as one line of text."""
        if self.details:
            return f'{self.entry} {self.kind} ({", ".join(self.details)})'
        return f'{self.entry} {self.kind}'


def compare_lists(old: Lists, new: Lists) -> tuple[Difference, ...]:
    """
    Compare two revisions of the lists entry by entry.

    Parameters
    ----------
    old, new : Lists
        Revisions that are compared.

    Returns
    -------
    tuple of Difference
        Entries that differ, sorted by name; the order of entries within the
        lists is ignored.

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
        f'{field.name}: {_show(old, field.name)} -> {_show(new, field.name)}'
        for field in fields(old)
        if getattr(old, field.name) != getattr(new, field.name)
    )
    return Difference(DifferenceKind.changed, name, details)


def _show(entry: Plan | Allowance, field: str) -> str:
    shown = getattr(entry, field)
    if isinstance(shown, tuple):
        return ' '.join(shown) or 'none'
    return f'{shown}'
