"""Compare refusals and at-most-once calls with the executions at targets."""

from collections import defaultdict
from collections.abc import Iterator

from proof.history import Attempt, Execution, History, Outcome, Violation

CLAIM_PREFIX = 'claim-'


def check_at_most_once(history: History) -> Iterator[Violation]:
    """Yield non-idempotent operations that were executed more than once."""
    for subject, executions in _group_executions(history).items():
        if subject.startswith(CLAIM_PREFIX) and len(executions) > 1:
            yield Violation(
                'at-most-once',
                f'{subject} ran {len(executions)} times',
            )


def check_refusals(history: History) -> Iterator[Violation]:
    """
    Yield attempts that were reported as not run but were executed.

    Notes
    -----
    A caller sends the attempts of one operation one after another.
    Therefore, an execution belongs to the last attempt that began before
    it.

    """
    executions = _group_executions(history)
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in history.attempts:
        attempts[attempt.subject].append(attempt)
    for subject, group in attempts.items():
        group.sort(key=lambda attempt: attempt.begin)
        for execution in executions.get(subject, ()):
            owner = _find_owner(group, execution)
            if owner and owner.outcome is Outcome.not_run:
                yield Violation(
                    'true-refusal',
                    f'{subject} was reported as not run but was executed',
                )


def _group_executions(history: History) -> dict[str, list[Execution]]:
    grouped: dict[str, list[Execution]] = defaultdict(list)
    for execution in history.executions:
        grouped[execution.subject].append(execution)
    return grouped


def _find_owner(
    attempts: list[Attempt], execution: Execution
) -> Attempt | None:
    earlier = [attempt for attempt in attempts if attempt.begin <= execution.at]
    return earlier[-1] if earlier else None
