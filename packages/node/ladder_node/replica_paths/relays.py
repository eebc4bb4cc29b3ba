"""The other nodes through which this one can reach replicas."""

from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

from ladder_core.timers import TimerService
from ladder_node.members import Member
from ladder_node.replica_paths.source import RelaySource
from ladder_policy.routing import (
    RelayCandidate,
    is_verifier,
    order_relays,
)

# Time for which a node that could not relay comes last, and one that is known
# to reach a service comes first.
_KNOWN_SECONDS = 2
_SAME_REGION_DISTANCE = 1
_OTHER_REGION_DISTANCE = 2
_Key = TypeVar('_Key')


class RelayDirectory(RelaySource):
    """
    List the nodes through which a service may be reached.

    Parameters
    ----------
    own : Member
        This node.
    list_members : callable
        Returns the live nodes.
    timers : TimerService
        Clock by which failures are forgotten.

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
        self._proved_at: dict[tuple[str, str], float] = {}

    def list_relays(self, service: str) -> list[RelayCandidate]:
        """Return the nodes that may reach a service, the best first."""
        oldest = self._timers.now() - _KNOWN_SECONDS
        self._failed_at = _drop_old(self._failed_at, oldest)
        self._proved_at = _drop_old(self._proved_at, oldest)
        return order_relays(
            self._own.name,
            (
                self._describe(member, service)
                for member in self._list_others()
                if service not in member.lost_services
                and not member.is_leaving
                and member.peer_address
            ),
        )

    def list_services_lost_elsewhere(self) -> set[str]:
        """Return the services that another node has lost its path to."""
        return {
            service
            for member in self._list_others()
            for service in member.lost_services
        }

    def is_verifier(self, service: str) -> bool:
        """Return whether this node checks a path that another node lost."""
        members = [*self._list_others(), self._own]
        return is_verifier(
            self._own.name, service, [member.name for member in members]
        )

    def record_success(self, name: str, service: str) -> None:
        """Record that a node reaches a service."""
        self._failed_at.pop(name, None)
        self._proved_at[name, service] = self._timers.now()

    def record_failure(self, name: str) -> None:
        """Record that a node does not reach a replica either, or is busy."""
        self._failed_at[name] = self._timers.now()

    def record_interruption(self, name: str) -> None:
        """Ignore an exchange that ended early; the replica may be the cause."""

    def _list_others(self) -> list[Member]:
        return [
            member
            for member in self._list_members()
            if member.name != self._own.name
        ]

    def _describe(self, member: Member, service: str) -> RelayCandidate:
        distance = _OTHER_REGION_DISTANCE
        if member.data_centre == self._own.data_centre:
            distance = 0
        elif member.region == self._own.region:
            distance = _SAME_REGION_DISTANCE
        return RelayCandidate(
            member.name,
            member.peer_address,
            distance,
            member.data_centre,
            member.capacity,
            member.name in self._failed_at,
            (member.name, service) in self._proved_at,
        )


def _drop_old(times: Mapping[_Key, float], oldest: float) -> dict[_Key, float]:
    return {key: at for key, at in times.items() if at > oldest}
