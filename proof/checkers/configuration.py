"""Check that accepted revisions reach all nodes and are never reverted."""

from collections import Counter
from collections.abc import Iterator

from proof.history import History, ObservedRevision, Violation

_PROPAGATION_LIMIT_SECONDS = 5


def check_configuration(history: History) -> Iterator[Violation]:
    """Yield conflicting edits, reverted revisions and late ones."""
    observations = sorted(
        history.observed_revisions, key=lambda observed: observed.at
    )
    yield from _check_conflicts(history.accepted_edits)
    yield from _check_order(observations)
    yield from _check_delay(history.accepted_edits, observations)


def _check_conflicts(accepted: list[ObservedRevision]) -> Iterator[Violation]:
    counts = Counter(edit.revision for edit in accepted)
    for revision, count in counts.items():
        if count > 1:
            yield Violation(
                'configuration',
                f'{count} edits were accepted as revision {revision}',
            )


def _check_order(observations: list[ObservedRevision]) -> Iterator[Violation]:
    newest: dict[str, int] = {}
    for observed in observations:
        if observed.revision < newest.get(observed.node, 0):
            yield Violation(
                'configuration',
                f'{observed.node} went back from revision '
                f'{newest[observed.node]} to {observed.revision}',
            )
        newest[observed.node] = max(
            newest.get(observed.node, 0), observed.revision
        )


def _check_delay(
    accepted: list[ObservedRevision],
    observations: list[ObservedRevision],
) -> Iterator[Violation]:
    for edit in accepted:
        limit = edit.at + _PROPAGATION_LIMIT_SECONDS
        for observed in observations:
            if observed.at > limit and observed.revision < edit.revision:
                yield Violation(
                    'configuration',
                    f'{observed.node} showed {observed.revision} as its '
                    f'revision {observed.at - edit.at:.1f} s after revision '
                    f'{edit.revision} was accepted',
                )
