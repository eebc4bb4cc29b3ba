"""Command line program that runs one stand-in as a process."""

import asyncio
from dataclasses import dataclass
from pathlib import Path

import defopt
import uvicorn
from starlette.applications import Starlette

from ladder_standins.engine import EngineSettings, make_engine
from ladder_standins.faults import FaultMiddleware, Faults
from ladder_standins.hosts import make_host_list
from ladder_standins.network import NetworkMiddleware
from ladder_standins.objects import make_object_store
from ladder_standins.records import RecordWriter
from ladder_standins.scorer import make_scorer
from ladder_standins.service import make_service
from ladder_standins.table import make_table
from ladder_standins.weights import make_weight_store


@dataclass(frozen=True)
class ListenSettings:
    """
    Address, record file and network delay of a stand-in.

    Attributes
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on.
    record : Path or None
        File that the stand-in appends its records to, as JSON lines.
    delay_ms : float
        One-way network delay, added before and after each request, in
        milliseconds.

    """

    port: int
    host: str = '127.0.0.1'
    record: Path | None = None
    delay_ms: float = 0


def table(
    *, port: int, record: Path | None = None, delay_ms: float = 0
) -> None:
    """
    Run the table service.

    :param port: TCP port to listen on.
    :param record: File that records of all written rows are appended to.
    :param delay_ms: One-way network delay, in milliseconds.
    """
    listener = ListenSettings(port, record=record, delay_ms=delay_ms)
    _serve(listener, make_table(RecordWriter(record)))


def objects(*, port: int, delay_ms: float = 0) -> None:
    """
    Run the object store.

    :param port: TCP port to listen on.
    :param delay_ms: One-way network delay, in milliseconds.
    """
    _serve(ListenSettings(port, delay_ms=delay_ms), make_object_store())


def weights(
    *,
    port: int,
    size_bytes: int = 1_000_000,
    bytes_per_second: float = 10_000_000,
    delay_ms: float = 0,
) -> None:
    """
    Run the weight store.

    :param port: TCP port to listen on.
    :param size_bytes: Size of each weight version.
    :param bytes_per_second: Rate limit over all readers together.
    :param delay_ms: One-way network delay, in milliseconds.
    """
    app = make_weight_store(size_bytes, bytes_per_second)
    _serve(ListenSettings(port, delay_ms=delay_ms), app)


def hosts(*, port: int, lag_seconds: float = 0, delay_ms: float = 0) -> None:
    """
    Run the host list, whose entries are set over HTTP.

    :param port: TCP port to listen on.
    :param lag_seconds: Time until readers see a change.
    :param delay_ms: One-way network delay, in milliseconds.
    """
    _serve(ListenSettings(port, delay_ms=delay_ms), make_host_list(lag_seconds))


def engine(  # noqa: WPS211 each parameter is a flag of the program
    *,
    port: int,
    name: str,
    model: str,
    weights_address: str,
    version: int = 0,
    origin: str = '',
    batch_limit: int = 16,
    tokens_per_second: float = 400,
    checks_fencing: bool = True,
    record: Path | None = None,
    delay_ms: float = 0,
) -> None:
    """
    Run a model engine.

    :param port: TCP port to listen on.
    :param name: Name of the engine in the host list.
    :param model: Model that the engine serves.
    :param weights_address: Address of the weight store.
    :param version: Weight version that is loaded at the start.
    :param origin: Location of the engine, as region/data-centre.
    :param batch_limit: Largest number of requests in the batch.
    :param tokens_per_second: Rate of one stream in an otherwise empty batch.
    :param checks_fencing: Whether it refuses stale fencing tokens.
    :param record: File that records of all executions are appended to.
    :param delay_ms: One-way network delay, in milliseconds.
    """
    settings = EngineSettings(
        name=name,
        model=model,
        weights_address=weights_address,
        version=version,
        origin=origin,
        batch_limit=batch_limit,
        tokens_per_second=tokens_per_second,
        checks_fencing=checks_fencing,
    )
    listener = ListenSettings(port, record=record, delay_ms=delay_ms)
    _serve(listener, make_engine(settings, RecordWriter(record)))


def service(
    *,
    port: int,
    name: str,
    record: Path | None = None,
    delay_ms: float = 0,
) -> None:
    """
    Run a replica of a service that is not a model.

    :param port: TCP port to listen on.
    :param name: Name of the replica in the host list.
    :param record: File that records of all executions are appended to.
    :param delay_ms: One-way network delay, in milliseconds.
    """
    listener = ListenSettings(port, record=record, delay_ms=delay_ms)
    _serve(listener, make_service(name, RecordWriter(record)))


def scorer(*, port: int, delay_ms: float = 0) -> None:
    """
    Run a scoring service.

    :param port: TCP port to listen on.
    :param delay_ms: One-way network delay, in milliseconds.
    """
    _serve(ListenSettings(port, delay_ms=delay_ms), make_scorer())


def main() -> None:
    """Run the stand-in that the command line names."""
    programs = [table, objects, weights, hosts, engine, service, scorer]
    defopt.run(programs)


def _serve(listener: ListenSettings, app: Starlette) -> None:
    with_faults = FaultMiddleware(app, Faults(), listener.delay_ms)
    with_network = NetworkMiddleware(with_faults)
    config = uvicorn.Config(
        with_network,
        host=listener.host,
        port=listener.port,
        log_level='warning',
        timeout_graceful_shutdown=1,
    )
    asyncio.run(uvicorn.Server(config).serve())
