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
        Grows with each write of the row; zero for an absent row.
    part : str
        Partition of the table; the rows of one partition are changed
        together.

    """

    table: str
    key: str
    body: str
    revision: int
    part: str = ''


class Condition(msgspec.Struct, frozen=True):
    """
    A row revision that a transaction requires; zero requires absence.

    Attributes
    ----------
    table, key : str
        Position of the row.
    revision : int
        The required revision.
    part : str
        Partition of the table.

    """

    table: str
    key: str
    revision: int
    part: str = ''


class Write(msgspec.Struct, frozen=True):
    """
    One write of a transaction; a body of None deletes the row.

    Attributes
    ----------
    table, key : str
        Position of the row.
    body : str or None
        New content.
    part : str
        Partition of the table.

    """

    table: str
    key: str
    body: str | None
    part: str = ''


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
    revision : int
        Revision of the rows that were written.

    """

    committed: bool
    conflicts: tuple[Row, ...] = ()
    revision: int = 0


class RowChanges(msgspec.Struct, frozen=True):
    """
    Rows of a table as they became, up to a revision of the table service.

    Attributes
    ----------
    rows : tuple of Row
        The newest content of each row that changed.
    removed : tuple of Row
        Rows that are gone.
    revision : int
        Where the next look continues.

    """

    rows: tuple[Row, ...]
    removed: tuple[Row, ...]
    revision: int
