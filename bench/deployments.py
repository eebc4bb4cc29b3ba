"""Full-size layouts and networks of the deployments of the experiments."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from bench.experiment import DeploymentName
from ladder_standins.fleet import EngineLayout, Layout, NodeLayout
from ladder_standins.network import NetworkSettings

MODEL = 'cask'
BATCH_LIMIT = 16

_LINK_BITS_PER_SECOND = 210_000_000


@dataclass(frozen=True, slots=True)
class Place:
    """
    A data centre and its region, as the location of processes.

    Attributes
    ----------
    region, data_centre : str
        Name of the region, and name of the data centre in it.

    """

    region: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """
    Size and network of one deployment.

    Attributes
    ----------
    places : tuple of Place
        Data centres; the services of the platform run in the first one.
    nodes, engines, services : int
        Numbers of processes, which are distributed round-robin over the
        data centres.
    engine_pool, service_pool : str
        Names of the pools that the engines and the services belong to.
    clients_ms : float
        One-way delay between a client and a node, in milliseconds.

    """

    places: tuple[Place, ...]
    nodes: int
    engines: int
    services: int
    engine_pool: str
    service_pool: str
    clients_ms: float

    def make_layout(self, rate: float, policies: dict[str, str]) -> Layout:
        """
        Return the layout of the processes to start.

        Parameters
        ----------
        rate : float
            Tokens a real second of a stream that is alone on an engine.
        policies : dict of str to str
            Policies of the nodes, by name of the decision.

        """
        return Layout(
            nodes=tuple(
                NodeLayout(
                    f'node-{number}',
                    self._find_place(number).data_centre,
                    self._find_place(number).region,
                )
                for number in range(1, self.nodes + 1)
            ),
            engines=tuple(
                self._make_engine(number, rate)
                for number in range(1, self.engines + 1)
            ),
            services=self.services,
            service_pool=self.service_pool,
            policies=policies,
            weight_bytes_per_second=_LINK_BITS_PER_SECOND,
        )

    def make_network(self, region: str, data_centre: str) -> NetworkSettings:
        """Return the network settings of a stand-in at a location."""
        return NetworkSettings(
            region=region,
            data_centre=data_centre,
            centres_ms=1.5,
            regions_ms=12,
            clients_ms=self.clients_ms,
            link_bits_per_second=_LINK_BITS_PER_SECOND,
        )

    def _make_engine(self, number: int, rate: float) -> EngineLayout:
        place = self._find_place(number)
        return EngineLayout(
            f'engine-{number}',
            place.data_centre,
            place.region,
            model=MODEL,
            pool=self.engine_pool,
            tokens_per_second=rate,
            batch_limit=BATCH_LIMIT,
        )

    def _find_place(self, number: int) -> Place:
        return self.places[(number - 1) % len(self.places)]


DEPLOYMENTS: Mapping[DeploymentName, Deployment] = MappingProxyType(
    {
        DeploymentName.cellarwatch: Deployment(
            places=(
                Place('lowlands', 'leith'),
                Place('lowlands', 'govan'),
                Place('highlands', 'inverness'),
            ),
            nodes=9,
            engines=4,
            services=3,
            engine_pool='brewmind',
            service_pool='taproom',
            clients_ms=3,
        ),
        DeploymentName.cooperative: Deployment(
            places=(
                Place('attica', 'aspropyrgos'),
                Place('attica', 'elefsina'),
                Place('thessaloniki', 'sindos'),
            ),
            nodes=10,
            engines=5,
            services=3,
            engine_pool='model-pool',
            service_pool='member-app',
            clients_ms=1,
        ),
    }
)
