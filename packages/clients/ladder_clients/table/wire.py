"""Messages of the table service."""

import msgspec


class Row(msgspec.Struct, frozen=True):
    """
    One row of a table.

    Attributes
    ----------
    table, key : str
        Table of the row, and its key there.
    body : str
        Content, JSON by convention.
    revision : int
        Revision of the row, which increases with each write; zero for an
        absent row.
    part : str
        Partition of the table; all rows that a transaction writes are in the
        same partition.

    """

    table: str
    key: str
    body: str
    revision: int
    part: str = ''


class Condition(msgspec.Struct, frozen=True):
    """
    Revision that a row must have for a transaction to take effect.

    Attributes
    ----------
    table, key : str
        Table and key of the row.
    revision : int
        Required revision; zero if the row must be absent.
    part : str
        Partition of the row.

    """

    table: str
    key: str
    revision: int
    part: str = ''


class Write(msgspec.Struct, frozen=True):
    """
    One write of a transaction.

    Attributes
    ----------
    table, key : str
        Table and key of the row.
    body : str or None
        New content; None deletes the row.
    part : str
        Partition of the row.

    """

    table: str
    key: str
    body: str | None
    part: str = ''


class Transaction(msgspec.Struct, frozen=True):
    """
    Writes that take effect atomically if all conditions hold.

    Attributes
    ----------
    token : str
        Idempotency key of the transaction: a repeated token has no second
        effect and returns the first outcome.
    conditions : tuple of Condition
        Required revisions of rows.
    writes : tuple of Write
        Writes that are applied together.

    """

    token: str
    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()


class Outcome(msgspec.Struct, frozen=True):
    """
    Outcome of a transaction.

    Attributes
    ----------
    committed : bool
        Whether the writes took effect.
    conflicts : tuple of Row
        Current state of the rows whose conditions did not hold.
    revision : int
        Revision that the written rows have; zero if nothing was written.

    """

    committed: bool
    conflicts: tuple[Row, ...] = ()
    revision: int = 0


class RowChanges(msgspec.Struct, frozen=True):
    """
    Changes of the rows of a table, up to a revision of the table service.

    Attributes
    ----------
    rows : tuple of Row
        Newest state of each row that was written.
    removed : tuple of Row
        Rows that were deleted.
    revision : int
        Revision up to which the changes are included; the next `watch`
        continues from it.

    """

    rows: tuple[Row, ...]
    removed: tuple[Row, ...]
    revision: int
