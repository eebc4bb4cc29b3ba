"""The nodes whose connections to replicas this one shares."""

from collections.abc import Callable, Sequence

from prometheus_client import Gauge

from ladder_core.timers import TimerService
from ladder_node.members import Member
from ladder_node.replica_paths.source import RelaySource
from ladder_policy.routing import RelayCandidate, choose_gateways

# Longer than the time after which the membership leaves a silent host out.
_FAILURE_SECONDS = 8
# The choice follows the members, which are read about once a second.
_CHOICE_SECONDS = 1

_gateways_gauge = Gauge(
    'ladder_replica_gateways',
    'Nodes that this one may send requests to a service through; zero if it'
    ' uses its own connections',
    ('service',),
)


class GatewayDirectory(RelaySource):
    """
    List the gateways of this node to a service.

    Parameters
    ----------
    own : Member
        This node.
    list_members : callable
        Returns the live nodes.
    timers : TimerService
        Clock by which failures are forgotten and the choice is renewed.

    """

    def __init__(
        self,
        own: Member,
        list_members: Callable[[], Sequence[Member]],
        timers: TimerService,
    ) -> None:
        self._own = own
        self._list_members = list_members
        self._timers = timers
        self._failed_at: dict[str, float] = {}
        self._chosen: dict[str, tuple[float, list[RelayCandidate]]] = {}

    def list_relays(self, service: str) -> list[RelayCandidate]:
        """Return the gateways that work, the one to use first."""
        now = self._timers.now()
        chosen_at, chosen = self._chosen.get(service, (None, []))
        if chosen_at is None or now - chosen_at >= _CHOICE_SECONDS:
            chosen = self._choose(service)
            self._chosen[service] = (now, chosen)
            _gateways_gauge.labels(service).set(len(chosen))
        self._failed_at = {
            name: failed_at
            for name, failed_at in self._failed_at.items()
            if now - failed_at < _FAILURE_SECONDS
        }
        return [node for node in chosen if node.name not in self._failed_at]

    def record_success(self, name: str, service: str) -> None:
        """Record that a node reaches a service."""
        self._failed_at.pop(name, None)

    def record_failure(self, name: str) -> None:
        """Record that a node could not relay a request."""
        self._failed_at[name] = self._timers.now()

    def record_interruption(self, name: str) -> None:
        """
        Record that an exchange ended before the head of its response.

        The node may be silent, and the next request must not wait for it.
        """
        self.record_failure(name)

    def _choose(self, service: str) -> list[RelayCandidate]:
        own = self._own
        if not own.is_gateway:
            return []
        return choose_gateways(
            own.name,
            service,
            (
                RelayCandidate(
                    member.name,
                    member.peer_address,
                    data_centre=member.data_centre,
                    capacity=member.capacity,
                )
                for member in self._list_members()
                if member.data_centre == own.data_centre
                and _can_be_gateway(member, service)
            ),
        )


def _can_be_gateway(member: Member, service: str) -> bool:
    if service in member.lost_services or not member.peer_address:
        return False
    return member.is_gateway and not member.is_leaving
