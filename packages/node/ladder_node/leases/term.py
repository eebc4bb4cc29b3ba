"""How long a lease lasts, and how often its holder renews it."""

from dataclasses import dataclass

# A store that takes five seconds for an answer still leaves time for two
# renewals within a term.
_DURATION_SECONDS = 15
_MARGIN_SECONDS = 1
_RENEWAL_SECONDS = 3


@dataclass(frozen=True, slots=True)
class LeaseTerm:
    """
    Times of the leases of one deployment; the same on all of its nodes.

    Attributes
    ----------
    duration_seconds : float
        Time without a renewal after which another node takes a lease.
    margin_seconds : float
        Seconds by which the holder stops earlier; covers the drift between
        two clocks within one term.
    renewal_seconds : float
        Seconds between renewals.
    takes_over_own_name : bool
        Whether a lease that is held under this node's own name by another
        process is taken at once: the platform starts a node's process only
        after its predecessor has ended.
    excludes_outages : bool
        Whether a time in which the table can't be read counts for nobody,
        because holders go on with their work through it.

    """

    duration_seconds: float = _DURATION_SECONDS
    margin_seconds: float = _MARGIN_SECONDS
    renewal_seconds: float = _RENEWAL_SECONDS
    takes_over_own_name: bool = False
    excludes_outages: bool = False
