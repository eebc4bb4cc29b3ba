"""
Guards against builds that misread each other during a rolling upgrade.

If a test fails, docs/UPGRADES.md says how the form may change instead.
"""

import importlib
import pkgutil
from enum import StrEnum

import msgspec
import pytest

import ladder_node
from ladder_node.rate_limits.issuer import PermitOutcome
from tests.compatibility.checks import (
    find_misread_examples,
    find_misread_messages,
    list_builds,
    load_entries,
    load_models,
)
from tests.compatibility.forms import (
    FORMS,
    NAMES,
    UNEXCHANGED_MODULES,
    Encoding,
    Form,
)

BUILDS = list_builds()
KEPT = [
    pytest.param(build, form, id=f'{build}-{form.name}')
    for build in BUILDS
    for form in FORMS
    if form.name in load_models(build)
]
MEMBER = Form('row-member', 'ladder_node.members.rows:Member')
TASKS = Form('row-batch-tasks', 'ladder_node.batches.spec:BatchSpec')
PERMIT_REPLY = Form(
    'call-permit-reply',
    'ladder_node.rate_limits.issuer:PermitReply',
    Encoding.msgpack,
)


def test_production_build_is_kept():
    assert 'f8270e4' in BUILDS


@pytest.mark.parametrize(('build', 'form'), KEPT)
def test_forms_of_an_earlier_build_keep_their_meaning(build, form):
    assert not find_misread_examples(build, form, form.model)


@pytest.mark.parametrize(('build', 'form'), KEPT)
def test_earlier_build_reads_the_forms_of_this_one(build, form):
    assert not find_misread_messages(build, form, form.model)


@pytest.mark.parametrize('build', BUILDS)
def test_names_of_an_earlier_build_stay(build):
    names = {name.label: name.find_value() for name in NAMES}
    kept = load_entries(build, 'names')
    assert {label: names.get(label) for label in kept} == kept


@pytest.mark.parametrize('build', BUILDS)
def test_forms_of_an_earlier_build_stay_registered(build):
    assert load_models(build).keys() <= {form.name for form in FORMS}


def find_used_models(kind):
    """Return a model and those that it contains."""
    members = [field.type for field in getattr(kind, 'fields', ())]
    members += getattr(kind, 'types', ())
    members += getattr(kind, 'item_types', ())
    members += [kind.item_type] if hasattr(kind, 'item_type') else []
    used = {getattr(kind, 'cls', None)}
    return used.union(*(find_used_models(member) for member in members))


def test_every_message_of_a_node_is_registered():
    """Guards against a new row or message that no check covers."""
    for module in pkgutil.walk_packages(
        ladder_node.__path__, f'{ladder_node.__name__}.'
    ):
        if '.tests' not in module.name:
            importlib.import_module(module.name)
    registered = set()
    for form in FORMS:
        registered |= find_used_models(msgspec.inspect.type_info(form.model))
    unregistered = {
        f'{model.__module__}:{model.__name__}'
        for model in msgspec.Struct.__subclasses__()
        if model.__module__.startswith('ladder_node.')
        and model.__module__ not in UNEXCHANGED_MODULES
        and model not in registered
    }
    assert unregistered == set()


def change_model(model, change):
    """Return a model with some of its fields changed."""
    fields = {
        field.name: (field.name, field.type)
        if field.required
        else (field.name, field.type, field.default)
        for field in msgspec.structs.fields(model)
    }
    return msgspec.defstruct(
        model.__name__,
        change(fields),
        frozen=True,
        array_like=model.__struct_config__.array_like,
    )


def drop(name):
    return lambda fields: [
        field for key, field in fields.items() if key != name
    ]


def rename(name, other):
    return lambda fields: [
        (other, *field[1:]) if key == name else field
        for key, field in fields.items()
    ]


def retype(name, *definition):
    return lambda fields: [
        (name, *definition) if key == name else field
        for key, field in fields.items()
    ]


def swap(name, other):
    return lambda fields: [
        fields[{name: other, other: name}.get(key, key)] for key in fields
    ]


def insert(field):
    return lambda fields: [field, *fields.values()]


def append(field):
    return lambda fields: [*fields.values(), field]


@pytest.mark.parametrize(
    ('form', 'change'),
    [
        pytest.param(MEMBER, drop('beats'), id='field dropped'),
        pytest.param(MEMBER, drop('region'), id='required field dropped'),
        pytest.param(MEMBER, rename('beats', 'count'), id='field renamed'),
        pytest.param(MEMBER, retype('beats', float, 0), id='type widened'),
        pytest.param(MEMBER, retype('beats', str, ''), id='type changed'),
        pytest.param(
            MEMBER, retype('capacity', float | None, None), id='made optional'
        ),
        pytest.param(TASKS, swap('host', 'prefix'), id='fields swapped'),
        pytest.param(TASKS, insert(('first', str)), id='field at the front'),
        pytest.param(TASKS, drop('min_version'), id='place dropped'),
    ],
)
def test_change_that_an_earlier_build_misreads_is_found(form, change):
    model = change_model(form.model, change)
    assert find_misread_messages('f8270e4', form, model)


@pytest.mark.parametrize(
    ('form', 'change'),
    [
        pytest.param(MEMBER, drop('beats'), id='field dropped'),
        pytest.param(MEMBER, rename('beats', 'count'), id='field renamed'),
        pytest.param(MEMBER, insert(('added', str)), id='required field added'),
        pytest.param(MEMBER, retype('beats', str, ''), id='type changed'),
        pytest.param(TASKS, swap('host', 'prefix'), id='fields swapped'),
    ],
)
def test_change_that_misreads_an_earlier_build_is_found(form, change):
    model = change_model(form.model, change)
    assert find_misread_examples('f8270e4', form, model)


@pytest.mark.parametrize('form', [MEMBER, TASKS], ids=['object', 'array'])
def test_optional_field_at_the_end_is_no_misreading(form):
    model = change_model(form.model, append(('added', str, '')))
    assert not find_misread_messages('f8270e4', form, model)
    assert not find_misread_examples('f8270e4', form, model)


def test_new_member_of_an_enumeration_is_found():
    """Guards against a member that an earlier build can't decode."""
    names = [*(member.value for member in PermitOutcome), 'postponed']
    outcomes = StrEnum('PermitOutcome', names)  # type: ignore[misc]
    model = change_model(PERMIT_REPLY.model, retype('outcome', outcomes))
    assert find_misread_messages('f8270e4', PERMIT_REPLY, model)
