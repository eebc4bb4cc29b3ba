"""The hand-over of finished groups to a trainer."""

import re
from dataclasses import dataclass

from ladder_core.errors import BadRequestError, LadderError
from ladder_core.values import Group

_HEXADECIMAL = 16
_DIGITS = re.compile('[0-9a-fA-F]*')
_SHOWN_CHARACTERS = 20


@dataclass(frozen=True, slots=True)
class HeldGroups:
    """
    The groups that a trainer already holds.

    Attributes
    ----------
    bits : int
        Bit `i` is set if the trainer holds group `i`.

    Examples
    --------
    >>> held = HeldGroups.parse('05')
    >>> [index for index in range(4) if held.has(index)]
    [0, 2]

    """

    bits: int = 0

    @classmethod
    def parse(cls, text: str) -> 'HeldGroups':
        """
        Read a hexadecimal number; an empty text is no group.

        Raises
        ------
        BadRequestError
            The text is not hexadecimal.

        """
        # int() alone would also take a sign, which sets every bit.
        if not _DIGITS.fullmatch(text):
            raise BadRequestError(
                f'held is no hexadecimal number: {text[:_SHOWN_CHARACTERS]!r}',
                remedy='send a number whose bit i is set for each held group i',
            )
        return cls(int(text or '0', base=_HEXADECIMAL))

    def check_groups(self, groups: int) -> None:
        """
        Check that only groups of a step are named.

        Parameters
        ----------
        groups : int
            Number of groups of the step.

        Raises
        ------
        BadRequestError
            A group is named that the step does not have.

        """
        if self.bits >> groups:
            raise BadRequestError(
                f'held names group {self.bits.bit_length() - 1} of a step '
                f'with {groups} groups',
                remedy='send what is held of this step only',
            )

    def has(self, index: int) -> bool:
        """Whether the trainer holds a group."""
        return bool(self.bits >> index & 1)


@dataclass(frozen=True, slots=True)
class Pull:
    """
    What a trainer states when it asks for groups.

    Attributes
    ----------
    version : int
        Version that the trainer is at.
    held : HeldGroups
        Groups that it holds.
    wait_seconds : float
        Seconds to wait for a group if none is finished.

    """

    version: int
    held: HeldGroups = HeldGroups()
    wait_seconds: float = 0


@dataclass(frozen=True, slots=True)
class GroupFailure:
    """
    A group that the service has given up on.

    Attributes
    ----------
    index : int
        Index of the group within the step.
    error : LadderError
        Why, and what the trainer can do about it.

    """

    index: int
    error: LadderError


@dataclass(frozen=True, slots=True)
class Handover:
    """
    The answer to one pull.

    Attributes
    ----------
    groups : tuple of Group
        Finished groups that the trainer does not hold, all within its bound.
    remaining : int
        Groups that are still to come after this answer.
    failures : tuple of GroupFailure
        Groups that will not come.

    """

    groups: tuple[Group, ...]
    remaining: int
    failures: tuple[GroupFailure, ...] = ()
