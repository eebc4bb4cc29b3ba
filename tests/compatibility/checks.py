"""Checks that two builds read each other's forms with the same meaning."""

import base64
import importlib
import json
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from tests.compatibility.forms import Encoding, Form, decode, encode
from tests.compatibility.samples import SampleMaker, describe, find_difference

BUILDS = Path(__file__).parent / 'builds'


def list_builds() -> list[str]:
    """Return the commits of the builds that are kept."""
    return sorted(path.parent.name for path in BUILDS.glob('*/models.py'))


def load_entries(build: str, name: str) -> Any:
    """Return what is kept of a form of a build, or of its names."""
    return json.loads((BUILDS / build / f'{name}.json').read_text())['entries']


def load_models(build: str) -> Mapping[str, Any]:
    """Return the models of a build, by the names of their forms."""
    module = f'tests.compatibility.builds.{build}.models'
    models: Mapping[str, Any] = importlib.import_module(module).MODELS
    return models


def find_misread_examples(build: str, form: Form, model: Any) -> list[str]:
    """
    Return the examples of an older build that a model does not understand.

    Parameters
    ----------
    build : str
        The older build.
    form : Form
        Form of the examples.
    model : type
        Model of the newer build.

    """
    return list(_list_misread_examples(build, form, model))


def find_misread_messages(build: str, form: Form, model: Any) -> list[str]:
    """
    Return the messages of a model that an older build does not understand.

    Parameters
    ----------
    build : str
        The older build.
    form : Form
        Form of the messages.
    model : type
        Model of the newer build.

    """
    frozen = load_models(build)[form.name]
    return list(_list_misread_messages(form, model, frozen))


def _list_misread_examples(build: str, form: Form, model: Any) -> Iterator[str]:
    for example in load_entries(build, form.name):
        encoded = example['encoded'].encode()
        if form.encoding is Encoding.msgpack:
            encoded = base64.b64decode(encoded)
        try:
            read = describe(decode(form, encoded, model))
        except msgspec.DecodeError as error:
            yield f'{form.name}: {error}'
            continue
        difference = find_difference(read, example['contents'])
        if difference:
            yield f'{form.name}{difference}'


def _list_misread_messages(
    form: Form, model: Any, frozen: Any
) -> Iterator[str]:
    for message in SampleMaker().make(model):
        try:
            read = decode(form, encode(form, message), frozen)
        except msgspec.DecodeError as error:
            yield f'{form.name}: {error}'
            continue
        difference = find_difference(describe(message), describe(read))
        if difference:
            yield f'{form.name}{difference}'
