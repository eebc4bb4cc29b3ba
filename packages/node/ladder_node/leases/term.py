"""The duration of leases and the interval of their renewal."""

from dataclasses import dataclass

# With store calls of five seconds, two renewals still fit within a term.
_DURATION_SECONDS = 15
_MARGIN_SECONDS = 1
_RENEWAL_SECONDS = 3


@dataclass(frozen=True, slots=True)
class LeaseTerm:
    """
    Timing of leases; all nodes of a deployment use the same values.

    Attributes
    ----------
    duration_seconds : float
        Seconds without a renewal after which another node may take a lease.
    margin_seconds : float
        Seconds before the end of the term at which the holder stops using
        the lease; covers the drift between two clocks within one term.
    renewal_seconds : float
        Seconds between renewals by the holder.
    takes_over_own_name : bool
        Whether a lease that another process holds under this node's name is
        taken at once, without waiting for a term. This is safe where the
        platform starts a node's process only after its predecessor has ended.
    excludes_outages : bool
        Whether a period in which this node could not read the table is left
        out when it measures how long a lease went unrenewed, because holders
        continue their work through an outage.

    """

    duration_seconds: float = _DURATION_SECONDS
    margin_seconds: float = _MARGIN_SECONDS
    renewal_seconds: float = _RENEWAL_SECONDS
    takes_over_own_name: bool = False
    excludes_outages: bool = False
