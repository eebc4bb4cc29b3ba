"""
Keep the examples and models of a build, made by the code of that build.

Run it for a commit in a work tree of that commit, as docs/UPGRADES.md says.
"""

import base64
import contextlib
import dataclasses
import json
import sys
from enum import Enum
from pathlib import Path
from typing import Any

from msgspec import NODEFAULT, Struct, inspect

from tests.compatibility.forms import FORMS, NAMES, Encoding, Form, encode
from tests.compatibility.samples import SampleMaker, describe

BUILDS = Path(__file__).parent / 'builds'
_PLAIN_TYPES: dict[type, str] = {
    inspect.IntType: 'int',
    inspect.FloatType: 'float',
    inspect.StrType: 'str',
    inspect.BytesType: 'bytes',
    inspect.BoolType: 'bool',
    inspect.NoneType: 'None',
}
_HEADING = '''"""
Models of the forms of build {commit}.

Written by ``tests.compatibility.freeze``; not edited by hand.
"""

import dataclasses
from enum import StrEnum

import msgspec
'''


class ModelWriter:
    """Write the source of models that this build encodes and decodes."""

    def __init__(self) -> None:
        # Class definitions in an order in which each uses earlier ones only.
        self.sources: list[str] = []
        self._names: dict[type, str] = {}

    def find_name(self, model: Any) -> str:
        """Return the name of a model, or the expression for it."""
        return self._write(inspect.type_info(model))

    def _write(self, kind: Any) -> str:
        plain = _PLAIN_TYPES.get(type(kind), '')
        return plain or self._write_container(kind) or self._find_class(kind)

    def _write_container(self, kind: Any) -> str:
        if isinstance(kind, inspect.UnionType):
            return ' | '.join(map(self._write, kind.types))
        if isinstance(kind, inspect.VarTupleType):
            return f'tuple[{self._write(kind.item_type)}, ...]'
        if isinstance(kind, inspect.TupleType):
            members = ', '.join(map(self._write, kind.item_types))
            return f'tuple[{members}]'
        if isinstance(kind, inspect.ListType):
            return f'list[{self._write(kind.item_type)}]'
        if isinstance(kind, inspect.DictType):
            key, member = map(self._write, (kind.key_type, kind.value_type))
            return f'dict[{key}, {member}]'
        return ''

    def _find_class(self, kind: Any) -> str:
        if kind.cls not in self._names:
            self._names[kind.cls] = self._choose_name(kind.cls)
            self.sources.append(self._write_class(kind))
        return self._names[kind.cls]

    def _choose_name(self, model: type) -> str:
        name = model.__name__.lstrip('_')
        while name in self._names.values():
            name = f'{name}2'
        return name

    def _write_class(self, kind: Any) -> str:
        name = self._names[kind.cls]
        if isinstance(kind, inspect.EnumType):
            lines = [f'class {name}(StrEnum):']
            lines += [f'    {item.name} = {item.value!r}' for item in kind.cls]
            return '\n'.join(lines)
        fields = [self._write_field(field) for field in kind.fields]
        if isinstance(kind, inspect.DataclassType):
            head = f'@dataclasses.dataclass(frozen=True)\nclass {name}:'
        else:
            options = ['frozen=True']
            if kind.array_like:
                options.append('array_like=True')
            if kind.tag is not None:
                options.append(f'tag={kind.tag!r}')
            head = f'class {name}(msgspec.Struct, {", ".join(options)}):'
        return '\n'.join([head, *fields])

    def _write_field(self, field: Any) -> str:
        text = f'    {field.name}: {self._write(field.type)}'
        if field.name != field.encode_name:
            raise NotImplementedError(f'renamed field {field.name}')
        if field.required:
            return text
        if field.default_factory is not NODEFAULT:
            return f'{text} = {self._write_default(field.default_factory())}'
        return f'{text} = {self._write_default(field.default)}'

    def _write_default(self, default: Any) -> str:
        if isinstance(default, Enum):
            return f'{self._names[type(default)]}.{default.name}'
        if isinstance(default, Struct):
            return f'{self._names[type(default)]}()'
        if dataclasses.is_dataclass(default):
            return f'{self._names[type(default)]}()'
        return repr(default)


def freeze(commit: str) -> None:
    """Write the examples, the names and the models of this build."""
    folder = BUILDS / commit
    folder.mkdir(parents=True, exist_ok=True)
    writer = ModelWriter()
    models = {}
    for form in FORMS:
        try:
            model = form.model
        except (ImportError, AttributeError):
            # A form that this build does not have.
            continue
        models[form.name] = writer.find_name(model)
        examples = [
            _make_example(form, message)
            for message in SampleMaker().make(model)
        ]
        _write_json(folder / f'{form.name}.json', commit, examples)
    _write_json(folder / 'names.json', commit, _list_names())
    lines = [_HEADING.format(commit=commit)]
    lines += [f'\n{source}\n' for source in writer.sources]
    lines.append('\nMODELS = {')
    lines += [f'    {name!r}: {text},' for name, text in models.items()]
    lines.append('}\n')
    (folder / 'models.py').write_text('\n'.join(lines))


def _make_example(form: Form, message: Any) -> dict[str, Any]:
    encoded = encode(form, message)
    if form.encoding is Encoding.msgpack:
        encoded = base64.b64encode(encoded)
    return {'encoded': encoded.decode(), 'contents': describe(message)}


def _list_names() -> dict[str, str | int]:
    names = {}
    for name in NAMES:
        # A build may lack some of them.
        with contextlib.suppress(ImportError, AttributeError):
            names[name.label] = name.find_value()
    return names


def _write_json(path: Path, commit: str, entries: Any) -> None:
    text = json.dumps({'commit': commit, 'entries': entries}, indent=1)
    path.write_text(f'{text}\n')


if __name__ == '__main__':
    freeze(sys.argv[1])
