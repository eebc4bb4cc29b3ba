"""Requests and responses when a trainer pulls finished groups."""

import re
from dataclasses import dataclass

from ladder_core.errors import BadRequestError, LadderError
from ladder_core.values import Group

_HEXADECIMAL_BASE = 16
_HEXADECIMAL_PATTERN = re.compile('[0-9a-fA-F]*')
_SHOWN_CHARACTERS = 20


@dataclass(frozen=True, slots=True)
class HeldGroups:
    """
    The groups that a trainer already holds.

    Attributes
    ----------
    bits : int
        Bit mask; bit `i` is set if the trainer holds group `i`.

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
        Parse a hexadecimal bit mask; an empty text means no groups.

        Raises
        ------
        BadRequestError
            The text contains other characters than hexadecimal digits.

        """
        # int() also accepts a sign, and a negative number has every high
        # bit set.
        if not _HEXADECIMAL_PATTERN.fullmatch(text):
            raise BadRequestError(
                f'held is no hexadecimal number: {text[:_SHOWN_CHARACTERS]!r}',
                remedy='send a number whose bit i is set for each held group i',
            )
        return cls(int(text or '0', base=_HEXADECIMAL_BASE))

    def check_groups(self, groups: int) -> None:
        """
        Check that every held group exists in the step.

        Parameters
        ----------
        groups : int
            Number of groups in the step.

        Raises
        ------
        BadRequestError
            The mask names a group that the step does not have.

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
    A trainer's request for finished groups.

    Attributes
    ----------
    version : int
        Weight version that the trainer has reached.
    held : HeldGroups
        Groups that the trainer already holds and does not need again.
    wait_seconds : float
        Seconds to wait for a group if none is finished; zero answers at once.

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
        Cause of the failure, with a remedy for the trainer.

    """

    index: int
    error: LadderError


@dataclass(frozen=True, slots=True)
class Handover:
    """
    The response to one pull.

    Attributes
    ----------
    groups : tuple of Group
        Finished groups that the trainer does not hold, all within its
        staleness bound.
    remaining : int
        Number of groups that are still being produced.
    failures : tuple of GroupFailure
        Groups that are given up and will not be produced.

    """

    groups: tuple[Group, ...]
    remaining: int
    failures: tuple[GroupFailure, ...] = ()
