"""Messages of the table service."""

import msgspec


class Row(msgspec.Struct, frozen=True):
    """
    One row.

    Attributes
    ----------
    table, key : str
        Position of the row.
    body : str
        Content, JSON by convention.
    revision : int
        Counts the writes of the row, from one; zero for an absent row.

    """

    table: str
    key: str
    body: str
    revision: int


class Condition(msgspec.Struct, frozen=True):
    """
    A row revision that a transaction requires; zero requires absence.

    Attributes
    ----------
    table, key : str
        Position of the row.
    revision : int
        The required revision.

    """

    table: str
    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """
    One write of a transaction; a body of None deletes the row.

    Attributes
    ----------
    table, key : str
        Position of the row.
    body : str or None
        New content.

    """

    table: str
    key: str
    body: str | None


class Transaction(msgspec.Struct, frozen=True):
    """
    Writes that take effect together if all conditions hold.

    Attributes
    ----------
    token : str
        Identifies the transaction; a repeated token has no second effect
        and returns the first outcome.
    conditions : tuple of Condition
        Required row revisions.
    writes : tuple of Write
        The writes.

    """

    token: str
    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()


class Outcome(msgspec.Struct, frozen=True):
    """
    What became of a transaction.

    Attributes
    ----------
    committed : bool
        Whether the writes took effect.
    conflicts : tuple of Row
        Rows as they are, whose conditions did not hold.

    """

    committed: bool
    conflicts: tuple[Row, ...] = ()
