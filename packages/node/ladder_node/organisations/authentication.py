"""Find the organisation of a caller by the key that it sends."""

from prometheus_client import Counter

from ladder_core.errors import NotReadyError, UnauthorizedError
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Organisation
from ladder_node.routes import RouteConfirmation

# Another node may be fresh, so callers are told to try again at once; the
# short delay keeps their retries from all hitting this node in one moment.
_RETRY_AFTER_SECONDS = 0.1

_keys_counter = Counter(
    'ladder_keys_total',
    'Requests that need a key, by what came of their authentication',
    ('outcome',),
)


class Authenticator:
    """
    Authenticate callers by their keys.

    Explanation
    -----------
    The keys are those of the configuration that this node knows. Before a key
    is rejected, the configuration in force is read, since the key may be newer
    than what this node knows. A key may also have been revoked without this
    node knowing it; with `max_age_seconds`, requests with keys are therefore
    refused while the configuration was not confirmed for that time.

    Parameters
    ----------
    confirmation : RouteConfirmation
        Configuration with the organisations, and its confirmation.
    timers : TimerService
        Clock for the age of the configuration; it also advances while the
        host is suspended.
    timeline : Timeline
        Records each rejection.
    max_age_seconds : float or None, optional
        Longest time since the configuration was confirmed for which keys are
        accepted; None for no limit.

    """

    def __init__(
        self,
        confirmation: RouteConfirmation,
        timers: TimerService,
        timeline: Timeline,
        max_age_seconds: float | None = None,
    ) -> None:
        self._confirmation = confirmation
        self._routes = confirmation.routes
        self._timers = timers
        self._timeline = timeline
        self._max_age_seconds = max_age_seconds

    @property
    def is_required(self) -> bool:
        """Whether the configuration in force has organisations."""
        return self._routes.require().organisations is not None

    async def authenticate(
        self, key: bytes | None, request_id: str
    ) -> Organisation:
        """
        Return the organisation that holds a key.

        Parameters
        ----------
        key : bytes or None
            The key as it was received; None if the request has none.
        request_id : str
            Identifies the request in the timeline.

        Raises
        ------
        UnauthorizedError
            The configuration in force has no such key.
        NotReadyError
            The configuration may be too old to know that the key is valid.
        StoreUnavailableError
            This node knows no such key, and can't confirm that at present.

        """
        if not key:
            raise self._reject(
                'missing', request_id, 'the request carries no key'
            )
        self._require_fresh(request_id)
        organisation = self._find(key)
        if organisation is None:
            await self._confirmation.confirm()
            organisation = self._find(key)
        if organisation is None:
            raise self._reject(
                'unknown', request_id, 'no organisation has this key'
            )
        _keys_counter.labels('accepted').inc()
        return organisation

    def _find(self, key: bytes) -> Organisation | None:
        directory = self._routes.require().organisations
        return directory.find(key) if directory else None

    def _reject(
        self, outcome: str, request_id: str, message: str
    ) -> UnauthorizedError:
        _keys_counter.labels(outcome).inc()
        self._timeline.record(
            'key-rejected',
            request_id,
            reason=outcome,
            revision=self._routes.require().revision,
        )
        return UnauthorizedError(
            message, remedy='send a key that the configuration holds'
        )

    def _require_fresh(self, request_id: str) -> None:
        """Raise if a key may have been revoked without this node knowing."""
        if self._max_age_seconds is None:
            return
        age = self._timers.now() - self._routes.confirmed_at
        if age > self._max_age_seconds / 2:
            # The feed may be silent although the store can be reached.
            self._confirmation.begin()
        if age <= self._max_age_seconds:
            return
        _keys_counter.labels('stale').inc()
        self._timeline.record('key-not-checked', request_id, age=round(age, 3))
        raise NotReadyError(
            f'this node has not confirmed its configuration for {age:.1f} s'
            ' and can not know whether the key is still valid',
            remedy='send the request to another node',
            retry_after=_RETRY_AFTER_SECONDS,
        )
