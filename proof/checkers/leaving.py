"""Check that targets that are leaving get no new requests."""

from collections.abc import Iterator

from proof.history import History, Violation

_PROPAGATION_LIMIT_SECONDS = 5


def check_leaving_targets(history: History) -> Iterator[Violation]:
    """Yield executions that began too late on targets that are leaving."""
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
                f'{execution.at - limit:.1f} s after the time limit for '
                'leaving targets',
            )
