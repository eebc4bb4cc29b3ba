"""Run several checkers over one history."""

from collections.abc import Callable, Iterable, Iterator

from proof.history import Finding, History

Checker = Callable[[History], Iterator[Finding]]


def check_all(
    history: History,
    checkers: Iterable[Checker],
) -> list[Finding]:
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
    return [finding for checker in checkers for finding in checker(history)]
