"""Limits of routes on the failed attempts of tasks."""

from ladder_core.errors import StoreUnavailableError
from ladder_core.timers import TimerService
from ladder_core.values import Route
from ladder_node.routes import RouteConfirmation

_RETRY_INTERVAL_SECONDS = 0.2


class AttemptLimits:
    """
    Decide whether the attempts that a route allows are used up.

    Explanation
    -----------
    What this node does not know at a moment is no reason to give a task up: a
    route that the configuration leaves out may come back, and a newer
    configuration may allow more attempts.

    Parameters
    ----------
    confirmation : RouteConfirmation
        Confirms the configuration before a task is given up.
    timers : TimerService
        Clock for the pauses between confirmations that fail.

    """

    def __init__(
        self, confirmation: RouteConfirmation, timers: TimerService
    ) -> None:
        self._confirmation = confirmation
        self._timers = timers

    def find_route(self, host: str, path: str) -> Route | None:
        """Return a route of the cached configuration, or None."""
        table = self._confirmation.routes.current
        return table.find_route(host, path) if table else None

    def is_reached(self, host: str, path: str, failures: int) -> bool:
        """Return whether the limit is reached by what this node knows."""
        route = self.find_route(host, path)
        return route is not None and failures >= route.max_attempts

    async def confirm_reached(
        self, host: str, path: str, failures: int
    ) -> bool:
        """
        Return whether the configuration in force allows no more attempts.

        If the limit seems to be reached, the call returns only once the
        configuration has been confirmed.

        Parameters
        ----------
        host, path : str
            Host and path of the requests.
        failures : int
            Number of attempts that failed.

        """
        while self.is_reached(host, path, failures):
            try:
                await self._confirmation.confirm()
            except StoreUnavailableError:
                # The confirmation has recorded the failure.
                await self._timers.sleep(_RETRY_INTERVAL_SECONDS)
            else:
                return self.is_reached(host, path, failures)
        return False
