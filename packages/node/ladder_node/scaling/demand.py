"""Interface of what knows the demand of services."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from ladder_policy.scaling import Demand


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """
    The work of a service and where it runs.

    Attributes
    ----------
    demand : Demand or None
        Tasks that wait or run; None if they are not known.
    running : mapping of str to int
        Number of tasks that run on each replica, by its name.

    """

    demand: Demand | None
    running: Mapping[str, int] = field(
        default_factory=lambda: MappingProxyType({}),
    )


class DemandSource(ABC):
    """Knows the tasks of services."""

    @abstractmethod
    def measure(self, service: str) -> ServiceLoad:
        """Return the present work of a service."""
