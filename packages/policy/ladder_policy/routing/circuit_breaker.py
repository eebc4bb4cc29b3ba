"""
The circuit breaker of one target, with a gradual recovery.

References
----------
M. Nygard, "Release It!", 2nd edition, 2018, section "Circuit Breaker".

"""

_INITIAL_OPEN_SECONDS = 2
_MAX_OPEN_SECONDS = 16
_INITIAL_IN_FLIGHT_LIMIT = 1
_CLOSING_IN_FLIGHT_LIMIT = 64


class TargetCircuitBreaker:
    """
    Send no requests to a failing target, and return to it gradually.

    Explanation
    -----------
    A failure opens the circuit, for twice as long after each further failure.
    When that time is over, or a status query to the target is answered, the
    circuit is half open: it allows one request in flight, and twice as many
    after each success, until it is closed. Failures while the circuit is open
    belong to requests that were sent earlier, and are not counted again.

    Examples
    --------
    >>> circuit = TargetCircuitBreaker()
    >>> circuit.record_failure(now=0)
    >>> circuit.allows(now=1, in_flight=0)
    False
    >>> circuit.allows(now=2, in_flight=0), circuit.allows(now=2, in_flight=1)
    (True, False)
    >>> circuit.record_success()
    >>> circuit.allows(now=2, in_flight=1)
    True

    """

    def __init__(self) -> None:
        self._open_until: float = 0
        self._open_seconds: float = _INITIAL_OPEN_SECONDS
        self._in_flight_limit: int | None = None

    @property
    def is_closed(self) -> bool:
        """Whether requests are allowed without a limit."""
        return self._in_flight_limit is None

    def record_failure(self, now: float) -> None:
        """
        Open the circuit after a failed request.

        Parameters
        ----------
        now : float
            Current time in seconds.

        """
        if now < self._open_until:
            return
        self._open_until = now + self._open_seconds
        self._open_seconds = min(2 * self._open_seconds, _MAX_OPEN_SECONDS)
        self._in_flight_limit = _INITIAL_IN_FLIGHT_LIMIT

    def record_success(self) -> None:
        """Double the limit after a success, or close the circuit."""
        if self._in_flight_limit is None:
            return
        self._in_flight_limit *= 2
        if self._in_flight_limit >= _CLOSING_IN_FLIGHT_LIMIT:
            self._in_flight_limit = None
            self._open_seconds = _INITIAL_OPEN_SECONDS

    def half_open(self, now: float) -> None:
        """End the open state, since the target answers status queries."""
        self._open_until = min(self._open_until, now)

    def allows(self, now: float, in_flight: int) -> bool:
        """
        Return whether a new request may be sent.

        Parameters
        ----------
        now : float
            Current time in seconds.
        in_flight : int
            Requests of this node in flight at the target.

        """
        if now < self._open_until:
            return False
        return (
            self._in_flight_limit is None or in_flight < self._in_flight_limit
        )
