"""
Decoding of messages in JSON and MessagePack.

Notes
-----
A message that is nested too deeply is malformed like any other: its writer
decides on the depth, so no reader may fail by it.

"""

import contextlib
from collections.abc import Iterator
from typing import TypeVar

import msgspec

_Message = TypeVar('_Message')


def decode_json(
    encoded: bytes | str | msgspec.Raw, message_type: type[_Message]
) -> _Message:
    """
    Return the message that some JSON holds.

    Raises
    ------
    msgspec.DecodeError
        The message is malformed, or nested too deeply.

    Examples
    --------
    >>> decode_json('[1, 2]', list[int])
    [1, 2]

    """
    with _limit_depth():
        return msgspec.json.decode(encoded, type=message_type)


def decode_msgpack(encoded: bytes, message_type: type[_Message]) -> _Message:
    """
    Return the message that some MessagePack holds.

    Raises
    ------
    msgspec.DecodeError
        The message is malformed, or nested too deeply.

    """
    with _limit_depth():
        return msgspec.msgpack.decode(encoded, type=message_type)


@contextlib.contextmanager
def _limit_depth() -> Iterator[None]:
    try:
        yield
    except RecursionError as error:
        raise msgspec.DecodeError('the message is nested too deeply') from error
