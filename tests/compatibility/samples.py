"""Messages whose fields all differ, and their contents in plain values."""

import base64
import dataclasses
from collections.abc import Callable, Mapping
from enum import Enum
from itertools import count
from typing import Any

from msgspec import Struct, inspect


class SampleMaker:
    """
    Make messages of a model that show a lost or displaced field.

    Explanation
    -----------
    The first message has a value in each field, and no two values are equal.
    Each other message differs in one field, by another member of an
    enumeration, by the other truth value, or by an absent value. The last has
    only the fields without a default.

    """

    def __init__(self) -> None:
        self._numbers = count(1)
        self._makers: dict[type, Callable[[Any], list[Any]]] = {
            inspect.IntType: lambda _: [next(self._numbers)],
            inspect.FloatType: lambda _: [next(self._numbers) + 0.5],
            inspect.StrType: lambda _: [f'text {next(self._numbers)}'],
            inspect.BytesType: lambda _: [b'\xff%d' % next(self._numbers)],
            inspect.BoolType: lambda _: [True, False],
            inspect.NoneType: lambda _: [None],
            inspect.EnumType: lambda kind: list(kind.cls),
            inspect.LiteralType: lambda kind: list(kind.values),
            inspect.UnionType: self._make_union,
            inspect.VarTupleType: lambda kind: self._make_many(kind, tuple),
            inspect.ListType: lambda kind: self._make_many(kind, list),
            inspect.TupleType: self._make_tuple,
            inspect.DictType: self._make_dict,
            inspect.StructType: self._make_fields,
            inspect.DataclassType: self._make_fields,
        }

    def make(self, model: Any) -> list[Any]:
        """Return the messages of a model."""
        return self._make(inspect.type_info(model))

    def _make(self, kind: Any) -> list[Any]:
        return self._makers[type(kind)](kind)

    def _make_union(self, kind: Any) -> list[Any]:
        members = sorted(
            kind.types, key=lambda member: isinstance(member, inspect.NoneType)
        )
        return [value for member in members for value in self._make(member)]

    def _make_many(
        self, kind: Any, container: Callable[[Any], Any]
    ) -> list[Any]:
        members = self._make(kind.item_type) + self._make(kind.item_type)[:1]
        return [container(members), container(())]

    def _make_tuple(self, kind: Any) -> list[Any]:
        columns = [self._make(member) for member in kind.item_types]
        return _vary(columns, lambda *members: tuple(members))

    def _make_dict(self, kind: Any) -> list[Any]:
        keys, members = self._make(kind.key_type), self._make(kind.value_type)
        return [dict(zip(keys, members, strict=False)), {}]

    def _make_fields(self, kind: Any) -> list[Any]:
        names = [field.name for field in kind.fields]
        columns = [self._make(field.type) for field in kind.fields]

        def build(*members: Any) -> Any:
            return kind.cls(**dict(zip(names, members, strict=True)))

        messages = _vary(columns, build)
        required = {
            field.name: column[0]
            for field, column in zip(kind.fields, columns, strict=True)
            if field.required
        }
        return [*messages, kind.cls(**required)]


def describe(message: Any) -> Any:
    """Return the contents of a message in plain values, by field names."""
    fields = _list_fields(message)
    if fields:
        return {name: describe(getattr(message, name)) for name in fields}
    if isinstance(message, Mapping):
        return {key: describe(member) for key, member in message.items()}
    if isinstance(message, tuple | list):
        return [describe(member) for member in message]
    if isinstance(message, bytes):
        return base64.b64encode(message).decode()
    return message.value if isinstance(message, Enum) else message


def _list_fields(message: Any) -> tuple[str, ...]:
    """Return the names of the fields of a struct or data class."""
    if isinstance(message, Struct):
        return message.__struct_fields__
    if dataclasses.is_dataclass(message):
        return tuple(field.name for field in dataclasses.fields(message))
    return ()


def find_difference(newer: Any, older: Any, place: str = '') -> str:
    """
    Return where the contents of a message differ; empty if they don't.

    Parameters
    ----------
    newer : object
        Contents by the newer model, which may have more fields.
    older : object
        Contents by the older model.
    place : str, optional
        Place within the message.

    Examples
    --------
    >>> find_difference({'a': 1, 'b': 2}, {'a': 1})
    ''
    >>> find_difference({'b': [2]}, {'b': [1]})
    '.b.0: 2 instead of 1'

    """
    if isinstance(older, dict) and isinstance(newer, dict):
        missing = older.keys() - newer.keys()
        if missing:
            return f'{place}: no {sorted(missing)}'
        pairs = [(key, newer[key], older[key]) for key in older]
    elif isinstance(older, list) and isinstance(newer, list):
        if len(older) != len(newer):
            return f'{place}: {newer} instead of {older}'
        pairs = [
            (index, *pair)
            for index, pair in enumerate(zip(newer, older, strict=True))
        ]
    else:
        # A whole number may stand for a float, and a truth value for neither.
        is_same = newer == older and (
            isinstance(newer, bool) is isinstance(older, bool)
        )
        return '' if is_same else f'{place}: {newer!r} instead of {older!r}'
    found = (
        find_difference(new, old, f'{place}.{key}') for key, new, old in pairs
    )
    return next(filter(None, found), '')


def _vary(columns: list[list[Any]], build: Callable[..., Any]) -> list[Any]:
    """Build from the first value of each column, then vary one at a time."""
    first = [column[0] for column in columns]
    messages = [build(*first)]
    for index, column in enumerate(columns):
        for other in column[1:]:
            changed = [*first[:index], other, *first[index + 1 :]]
            messages.append(build(*changed))
    return messages
