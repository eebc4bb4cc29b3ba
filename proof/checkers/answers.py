"""Check that each caller gets the complete response to its own request."""

from collections.abc import Iterator

from proof.history import History, Outcome, Violation


def check_own_whole_answers(history: History) -> Iterator[Violation]:
    """Yield responses whose text differs from the text that is expected."""
    for attempt in history.attempts:
        if attempt.outcome is not Outcome.answered or not attempt.expected:
            continue
        if attempt.text != attempt.expected:
            yield Violation(
                'own-whole-answer',
                f'{attempt.subject} got {len(attempt.text)} characters that '
                f'differ from the {len(attempt.expected)} characters expected',
            )
