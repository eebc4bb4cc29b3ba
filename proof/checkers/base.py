"""Run several checkers over one history."""

from collections.abc import Callable, Iterable, Iterator

from proof.history import History, Violation

Checker = Callable[[History], Iterator[Violation]]


def check_all(
    history: History,
    checkers: Iterable[Checker],
) -> list[Violation]:
    """
    Return what every checker finds.

    Parameters
    ----------
    history : History
        The history.
    checkers : iterable of Checker
        What to check.

    Returns
    -------
    list of Finding
        All violations; empty if every promise held.

    """
    return [violation for checker in checkers for violation in checker(history)]
