from pathlib import Path

import pytest
from pydantic import BaseModel, ConfigDict

from ladder_core.settings import load_node_settings, load_yaml, read_lists
from ladder_core.values import HeadlineMetric, HostKind

EXAMPLES = Path(__file__).parent.parent / 'examples'


class StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid')


class DataCentre(StrictModel):
    name: str
    region: str


class Delays(StrictModel):
    centres_ms: float
    regions_ms: float
    clients_ms: float
    link_bits_per_second: int


class Pool(StrictModel):
    name: str
    kind: HostKind
    replicas: dict[str, int]
    model: str = ''


class Deployment(StrictModel):
    data_centres: list[DataCentre]
    network: Delays
    store_data_centre: str
    pools: list[Pool]


def load_example(name):
    folder = EXAMPLES / name
    nodes = [
        load_node_settings(path)
        for path in sorted((folder / 'nodes').glob('*.yaml'))
    ]
    lists = read_lists(folder / 'plans.yaml', folder / 'allowances.yaml')
    return load_yaml(folder / 'deployment.yaml', Deployment), nodes, lists


@pytest.mark.parametrize(
    ('name', 'replicas', 'nodes_count', 'clients_ms', 'weighs'),
    [
        (
            'cellarwatch',
            {'brewmind': 4, 'taproom': 3},
            9,
            3,
            HeadlineMetric.idle,
        ),
        (
            'cooperative',
            {'model-pool': 5, 'member-app': 3},
            10,
            1,
            HeadlineMetric.staleness,
        ),
    ],
)
def test_example_has_the_size_of_its_deployment(
    name,
    replicas,
    nodes_count,
    clients_ms,
    weighs,
):
    deployment, nodes, lists = load_example(name)
    counts = {
        pool.name: sum(pool.replicas.values()) for pool in deployment.pools
    }
    assert counts.items() >= replicas.items()
    assert len(nodes) == nodes_count
    assert deployment.network.clients_ms == clients_ms
    trained = [plan for plan in lists.plans if plan.trainer]
    assert [plan.weighs for plan in trained] == [weighs]


@pytest.mark.parametrize('name', ['cellarwatch', 'cooperative'])
def test_files_of_an_example_fit_together(name):
    deployment, nodes, lists = load_example(name)
    regions = {centre.name: centre.region for centre in deployment.data_centres}
    assert {node.data_centre for node in nodes} == set(regions)
    assert all(regions[node.data_centre] == node.region for node in nodes)
    addresses = [node.entry_address for node in nodes]
    addresses.extend(node.peer_address for node in nodes)
    assert len(set(addresses)) == len(addresses)
    assert deployment.store_data_centre in regions
    pools = {pool.name for pool in deployment.pools}
    models = {pool.model for pool in deployment.pools}
    assert {plan.name for plan in lists.plans} == {
        allowance.plan for allowance in lists.allowances
    }
    for allowance in lists.allowances:
        assert set(allowance.pools) <= pools
        assert set(allowance.models) <= models
    for pool in deployment.pools:
        assert set(pool.replicas) <= set(regions)
