"""Permits and denials that this node has got."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Denial:
    """
    The latest denial of one priority.

    Attributes
    ----------
    ends_at, retry_at : float
        Times in seconds until which this node does not apply again, and at
        which the denied request should come again.

    """

    ends_at: float
    retry_at: float


@dataclass(slots=True)
class ProcessPermits:
    """
    What this node has got for one process.

    Attributes
    ----------
    denials : dict of int to Denial
        Latest denial by priority.
    unused : list of float
        Expiry times in seconds of permits that were granted and not used.

    """

    denials: dict[int, Denial] = field(default_factory=dict)
    unused: list[float] = field(default_factory=list)
