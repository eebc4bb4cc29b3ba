"""Interface of components with an explicit start and close."""

from abc import ABC, abstractmethod


class Component(ABC):
    """Part of a process that owns resources or tasks."""

    @abstractmethod
    async def start(self) -> None:
        """Acquire the resources and start the tasks."""

    @abstractmethod
    async def close(self) -> None:
        """Stop all tasks and release all resources; may be called again."""
