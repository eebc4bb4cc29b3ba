"""Check that leaving targets get no new work."""

from collections.abc import Iterator

from proof.history import History, Violation

_PROPAGATION_LIMIT_SECONDS = 5


def check_leaving_targets(history: History) -> Iterator[Violation]:
    """Yield executions that began too long after their target's leaving."""
    limits = {
        leaving.target: leaving.at + _PROPAGATION_LIMIT_SECONDS
        for leaving in history.leaving_targets
    }
    for execution in history.executions:
        limit = limits.get(execution.target)
        if limit is not None and execution.at > limit:
            yield Violation(
                'leaving-target',
                f'{execution.target} got {execution.subject} '
                f'{execution.at - limit:.1f} s after its limit',
            )
