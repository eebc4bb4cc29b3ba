"""The oldest weight version that a trainer may be handed."""

from ladder_core.values import VersionSpan


class StalenessGuard:
    """
    Staleness bound of a plan at the version that its trainer stated.

    Notes
    -----
    The highest version stated so far counts. A pull that a later pull of the
    same trainer superseded is therefore judged by the later pull's version.

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
        """The highest version that the trainer has stated."""
        return self._version

    @property
    def min_version(self) -> int:
        """The oldest version that may be handed over."""
        return self._version - self._bound

    def observe(self, version: int, bound: int) -> None:
        """
        Update the guard with the version and bound of a pull.

        Parameters
        ----------
        version : int
            Weight version that the trainer has reached.
        bound : int
            Number of versions by which a span may be older; zero or more.

        """
        self._version = max(self._version, version)
        self._bound = bound

    def is_stale(self, spans: list[VersionSpan]) -> bool:
        """Whether any span is too old to be handed over."""
        min_version = self.min_version
        return any(span.version < min_version for span in spans)
