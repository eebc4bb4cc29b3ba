import pytest
from pydantic import ValidationError

from ladder_core.errors import SettingsError
from ladder_core.settings import (
    PolicySettings,
    RoutingPolicy,
    load_node_settings,
    read_lists,
)

HASH = 'a' * 64
PLANS = f'plans:\n- name: p\n  customer: c\n  secret_sha256: {HASH}\n'
ALLOWANCES = 'allowances:\n- plan: p\n  pools: [brewmind]\n'


def write_lists(folder, plans=PLANS, allowances=ALLOWANCES):
    plans_path = folder / 'plans.yaml'
    plans_path.write_text(plans)
    allowances_path = folder / 'allowances.yaml'
    allowances_path.write_text(allowances)
    return plans_path, allowances_path


def test_lists_are_read(tmp_path):
    lists = read_lists(*write_lists(tmp_path))
    assert lists.plans[0].name == 'p'
    assert lists.allowances[0].pools == ('brewmind',)


@pytest.mark.parametrize(
    ('plans', 'expected'),
    [
        (f'{PLANS}  speed: 1\n', 'plans.yaml:5: plans.0.speed: Extra inputs'),
        (PLANS.replace('name: p', 'name: P!'), 'plans.yaml:2: plans.0.name'),
        (f'{PLANS}{PLANS[7:]}', 'name: p occurs twice'),
        ('plans: [', 'not valid YAML'),
        ('', 'plans.yaml:1: : Input should be'),
    ],
)
def test_invalid_lists_name_file_line_and_field(tmp_path, plans, expected):
    with pytest.raises(SettingsError) as caught:
        read_lists(*write_lists(tmp_path, plans))
    assert expected in str(caught.value)


def test_allowance_of_an_unknown_plan_is_refused(tmp_path):
    paths = write_lists(tmp_path, allowances='allowances:\n- plan: q\n')
    with pytest.raises(SettingsError, match='q is not in'):
        read_lists(*paths)


def test_each_fault_of_node_settings_has_a_line(tmp_path):
    path = tmp_path / 'node.yaml'
    path.write_text('name: a\nregion: [1]\nunknown: 1\n')
    with pytest.raises(SettingsError) as caught:
        load_node_settings(path)
    assert 'node.yaml:2: region' in str(caught.value)
    assert 'node.yaml:3: unknown' in str(caught.value)


def test_policies_are_named_and_checked():
    settings = PolicySettings.model_validate({'routing': 'round-robin'})
    assert settings.routing is RoutingPolicy.round_robin
    assert PolicySettings().routing is RoutingPolicy.least_loaded
    with pytest.raises(ValidationError, match='least-loaded'):
        PolicySettings.model_validate({'routing': 'random'})
