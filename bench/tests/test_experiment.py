import pytest

from bench.experiment import load_experiment
from ladder_core.errors import SettingsError

_VALID = """
name: small
deployments: [cellarwatch]
variants: [{name: plain, policies: {routing: round-robin}}]
seeds: [1]
trainers: [{name: notes}]
"""


def test_experiment_faults_are_all_named(tmp_path, snapshot):
    path = tmp_path / 'broken.yaml'
    path.write_text(
        _VALID.replace('routing: round-robin', 'colour: red')
        .replace('cellarwatch', 'atlantis')
        .replace('seeds: [1]', 'seeds: []\nspeed: 0'),
    )
    with pytest.raises(SettingsError) as caught:
        load_experiment(path)
    assert caught.value.message.replace(str(tmp_path), '') == snapshot


def test_experiment_defaults_are_filled_in(tmp_path):
    path = tmp_path / 'small.yaml'
    path.write_text(_VALID)
    experiment = load_experiment(path)
    assert experiment.speed == 1
    assert experiment.variants[0].policies.routing == 'round-robin'


def test_burst_raises_the_rate_for_its_time(tmp_path):
    path = tmp_path / 'burst.yaml'
    burst = 'burst_at_seconds: 5, burst_seconds: 2, burst_times: 10'
    path.write_text(f'{_VALID}interactive: {{per_second: 3, {burst}}}\n')
    interactive = load_experiment(path).interactive
    rates = [interactive.find_rate(at) for at in (4.9, 5, 6.9, 7)]
    assert rates == [3, 30, 30, 3]
