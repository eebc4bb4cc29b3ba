"""The contract of a part with explicit start and close."""

from abc import ABC, abstractmethod


class Component(ABC):
    """A part of a process that owns resources or tasks."""

    @abstractmethod
    async def start(self) -> None:
        """Acquire resources and begin work."""

    @abstractmethod
    async def close(self) -> None:
        """Finish work and release everything; a second call does nothing."""
