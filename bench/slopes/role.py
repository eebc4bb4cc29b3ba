"""Interface of a role whose cost is measured."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from bench.slopes.probe import NodeProbe
from bench.slopes.usage import Usage


@dataclass(frozen=True, slots=True)
class Scale:
    """
    Sizes at which a role is measured.

    Attributes
    ----------
    unit : str
        Unit of the sizes, for the tables.
    sizes : tuple of float
        Sizes to measure at, in increasing order.
    target : float
        Size for one node of the target system.

    """

    unit: str
    sizes: tuple[float, ...]
    target: float


class Role(ABC):
    """
    A task of a node whose cost depends on a size.

    Parameters
    ----------
    probe : NodeProbe
        Node to measure, with the processes around it.

    """

    title: str
    scale: Scale
    is_control = True

    def __init__(self, probe: NodeProbe) -> None:
        self._probe = probe

    @abstractmethod
    async def measure(self, size: float) -> Usage:
        """Return the resource usage of the node at a size."""
