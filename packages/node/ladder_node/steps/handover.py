"""The hand-over of finished groups to a trainer."""

from dataclasses import dataclass

from ladder_core.errors import BadRequestError
from ladder_core.values import Group

_HEXADECIMAL = 16
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
        try:
            return cls(int(text or '0', base=_HEXADECIMAL))
        except ValueError as error:
            raise BadRequestError(
                f'held is no hexadecimal number: {text[:_SHOWN_CHARACTERS]}',
                remedy='send a bit for each group, lowest group first',
            ) from error

    def has(self, index: int) -> bool:
        """Whether the trainer holds a group."""
        return bool(self.bits >> index & 1)


@dataclass(frozen=True, slots=True)
class Handover:
    """
    The answer to one pull.

    Attributes
    ----------
    groups : tuple of Group
        Finished groups that the trainer does not hold, all within its bound.
    remaining : int
        Groups that the trainer will still lack after this answer.

    """

    groups: tuple[Group, ...]
    remaining: int


def is_too_old(group: Group, trainer_version: int, bound: int) -> bool:
    """
    Whether a group is staler than a plan allows.

    Parameters
    ----------
    group : Group
        The group.
    trainer_version : int
        Version that the trainer is at.
    bound : int
        Largest allowed difference of versions.

    Returns
    -------
    bool
        True if its oldest span is older than the bound.

    """
    return trainer_version - group.oldest_version > bound
