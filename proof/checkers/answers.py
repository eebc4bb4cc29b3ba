"""Check that a caller gets the whole answer to its own request."""

from collections.abc import Iterator

from proof.history import History, Outcome, Violation


def check_own_whole_answers(history: History) -> Iterator[Violation]:
    """Yield answers that are not the whole answer to their request."""
    for attempt in history.attempts:
        if attempt.outcome is not Outcome.answered or not attempt.expected:
            continue
        if attempt.text != attempt.expected:
            yield Violation(
                'own-whole-answer',
                f'{attempt.subject} got {len(attempt.text)} characters '
                f'that are not its {len(attempt.expected)}',
            )
