"""Check that leaving targets get no new work."""

from collections.abc import Iterator

from proof.history import Finding, History

_GRACE_SECONDS = 5


def check_leaving_targets(history: History) -> Iterator[Finding]:
    """Yield executions that began too long after their target's leaving."""
    limits = {one.target: one.at + _GRACE_SECONDS for one in history.leavings}
    for execution in history.executions:
        limit = limits.get(execution.target)
        if limit is not None and execution.at > limit:
            yield Finding(
                'leaving-target',
                f'{execution.target} got {execution.subject} '
                f'{execution.at - limit:.1f} s after its limit',
            )
