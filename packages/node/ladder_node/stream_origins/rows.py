"""Rows that hold the origins of streams in the table service."""

import msgspec

from ladder_clients.table import Row, Timestamp, Write
from ladder_core.messages import decode_json
from ladder_node.stream_origins.memory import StreamOrigin

ORIGINS_TABLE = 'stream_origins'
# A partition of their own, so that leases and heartbeats don't wait for them.
ORIGINS_PART = 'stream-origins'
_MAX_KEY_CHARACTERS = 200


class OriginRow(msgspec.Struct, frozen=True):
    """
    The origin of a stream, in a row whose key is the stream's first attempt.

    Attributes
    ----------
    service, software_id : str
        The fields of a `StreamOrigin`.
    wrote_at : int
        Milliseconds since the Unix epoch, by the clock of the writing node.
    service_wrote_at : int or None
        Milliseconds by the clock of the table service; None if unknown.

    """

    service: str
    software_id: str
    wrote_at: int = 0
    service_wrote_at: int | None = None

    def find_age_seconds(self, now: Timestamp) -> float:
        """Return the seconds since the row was written."""
        return Timestamp(self.wrote_at, self.service_wrote_at).find_age_seconds(
            now
        )


def is_key(attempt: str) -> bool:
    """
    Return whether an attempt can be the key of a row.

    Examples
    --------
    >>> is_key('9c41d07be2a35f68'), is_key(''), is_key('é')
    (True, False, False)

    """
    return (
        0 < len(attempt) <= _MAX_KEY_CHARACTERS
        and attempt.isascii()
        and attempt.isprintable()
    )


def make_origin_write(
    attempt: str, origin: StreamOrigin, now: Timestamp
) -> Write:
    """Return the write that stores an origin."""
    row = OriginRow(origin.service, origin.software_id, now.wall, now.service)
    body = msgspec.json.encode(row).decode()
    return Write(ORIGINS_TABLE, attempt, body, ORIGINS_PART)


def make_origin_removal(attempt: str) -> Write:
    """Return the write that removes an origin."""
    return Write(ORIGINS_TABLE, attempt, None, ORIGINS_PART)


def decode_origin(row: Row) -> OriginRow:
    """
    Return the origin in a row.

    Raises
    ------
    msgspec.DecodeError
        The row is malformed.

    """
    return decode_json(row.body, OriginRow)
