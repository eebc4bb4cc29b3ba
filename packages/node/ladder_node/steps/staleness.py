"""The oldest version that a trainer may still be handed."""

from ladder_core.values import VersionSpan


class StalenessGuard:
    """
    The versions that a trainer stated, against its plan's bound.

    Notes
    -----
    The highest version ever stated counts. A pull that was overtaken by a
    later one of the same trainer is judged by the later one's version.

    Examples
    --------
    >>> guard = StalenessGuard()
    >>> guard.observe(5, bound=2)
    >>> guard.min_version
    3
    >>> guard.observe(4, bound=2)
    >>> guard.min_version
    3

    """

    def __init__(self) -> None:
        self._version = 0
        self._bound = 0

    @property
    def version(self) -> int:
        """The highest version that the trainer stated."""
        return self._version

    @property
    def min_version(self) -> int:
        """The oldest version that may be handed over."""
        return self._version - self._bound

    def observe(self, version: int, bound: int) -> None:
        """
        Take note of what a pull stated.

        Parameters
        ----------
        version : int
            Version that the trainer is at.
        bound : int
            Largest staleness in versions that its plan allows now.

        """
        self._version = max(self._version, version)
        self._bound = bound

    def is_stale(self, spans: list[VersionSpan]) -> bool:
        """Whether any span is too old to be handed over."""
        min_version = self.min_version
        return any(span.version < min_version for span in spans)
