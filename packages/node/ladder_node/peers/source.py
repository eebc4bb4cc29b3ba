"""Interface through which the gossip reads and updates the configuration."""

from abc import ABC, abstractmethod

from ladder_core.values import Lists


class ListsSource(ABC):
    """Holder of the operators' lists in force, which accepts newer ones."""

    @property
    @abstractmethod
    def known_lists(self) -> Lists | None:
        """The lists in force, however old, or None if none are known."""

    @property
    @abstractmethod
    def is_fresh(self) -> bool:
        """Whether the store or a peer has confirmed the lists recently."""

    @abstractmethod
    def offer(self, lists: Lists) -> None:
        """Use committed lists from now on if they are newer."""

    @abstractmethod
    def confirm(self, peer: str, revision: int) -> None:
        """
        Record the revision that a fresh peer confirms.

        Parameters
        ----------
        peer : str
            Name of the peer that confirms the revision.
        revision : int
            Revision in force at the peer.

        """
