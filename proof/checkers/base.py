"""Apply several checkers to one history."""

from collections.abc import Callable, Iterable, Iterator

from proof.history import History, Violation

Checker = Callable[[History], Iterator[Violation]]


def check_all(
    history: History,
    checkers: Iterable[Checker],
) -> list[Violation]:
    """
    Return the violations that all checkers find.

    Parameters
    ----------
    history : History
        What was recorded in one run.
    checkers : iterable of Checker
        One for each promise to check.

    Returns
    -------
    list of Violation
        Violations in the order of the checkers; empty if every promise
        was kept.

    """
    return [violation for checker in checkers for violation in checker(history)]
