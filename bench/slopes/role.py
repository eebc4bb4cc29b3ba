"""The contract of a role that is measured."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from bench.slopes.probe import NodeProbe
from bench.slopes.usage import Usage


@dataclass(frozen=True, slots=True)
class Scale:
    """
    Sizes of a role.

    Attributes
    ----------
    unit : str
        What is counted.
    sizes : tuple of float
        Sizes to measure.
    target : float
        Size at one node of the target.

    """

    unit: str
    sizes: tuple[float, ...]
    target: float


class Role(ABC):
    """
    One role of a node.

    Parameters
    ----------
    probe : NodeProbe
        The node to measure.

    """

    title: str
    scale: Scale
    is_control = True

    def __init__(self, probe: NodeProbe) -> None:
        self._probe = probe

    @abstractmethod
    async def measure(self, size: float) -> Usage:
        """Return what the node spends at a size."""
