"""The configuration as the gossip between nodes sees it."""

from abc import ABC, abstractmethod

from ladder_core.values import Lists


class ListsSource(ABC):
    """Holds the lists in force and learns newer ones."""

    @property
    @abstractmethod
    def known_lists(self) -> Lists | None:
        """The lists in force, whatever their age, or None."""

    @property
    @abstractmethod
    def is_fresh(self) -> bool:
        """Whether the store or a peer confirmed the lists lately."""

    @abstractmethod
    def offer(self, lists: Lists) -> None:
        """Put committed lists in force if they are newer."""

    @abstractmethod
    def confirm(self, peer: str, revision: int) -> None:
        """
        Take note of the revision that a fresh peer has.

        Parameters
        ----------
        peer : str
            Name of the peer.
        revision : int
            Revision in force there.

        """
