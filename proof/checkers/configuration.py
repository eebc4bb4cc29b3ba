"""Check that accepted revisions come into force and never revert."""

from collections import Counter
from collections.abc import Iterator

from proof.history import Finding, History, RevisionSeen

_LIMIT_SECONDS = 5


def check_configuration(history: History) -> Iterator[Finding]:
    """Yield reverted revisions and accepted ones that came late."""
    seen = sorted(history.revisions, key=lambda one: one.at)
    yield from _check_conflicts(history.accepted)
    yield from _check_order(seen)
    yield from _check_delay(history.accepted, seen)


def _check_conflicts(accepted: list[RevisionSeen]) -> Iterator[Finding]:
    counts = Counter(edit.revision for edit in accepted)
    for revision, count in counts.items():
        if count > 1:
            yield Finding(
                'configuration',
                f'{count} edits were accepted as revision {revision}',
            )


def _check_order(seen: list[RevisionSeen]) -> Iterator[Finding]:
    newest: dict[str, int] = {}
    for one in seen:
        if one.revision < newest.get(one.node, 0):
            yield Finding(
                'configuration',
                f'{one.node} went back from {newest[one.node]} '
                f'to {one.revision}',
            )
        newest[one.node] = max(newest.get(one.node, 0), one.revision)


def _check_delay(
    accepted: list[RevisionSeen],
    seen: list[RevisionSeen],
) -> Iterator[Finding]:
    for edit in accepted:
        limit = edit.at + _LIMIT_SECONDS
        for one in seen:
            if one.at > limit and one.revision < edit.revision:
                yield Finding(
                    'configuration',
                    f'{one.node} showed {one.revision} '
                    f'{one.at - edit.at:.1f} s after {edit.revision}',
                )
