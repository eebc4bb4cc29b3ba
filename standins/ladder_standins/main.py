"""The program of all stand-ins: one process is one stand-in."""

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
    Where a stand-in listens and what it notes down.

    Attributes
    ----------
    host : str
        IP number to listen on.
    port : int
        Port to listen on.
    record : Path or None
        File that takes the stand-in's ground truth as JSON lines.
    delay_ms : float
        One-way network delay added before and after each request.

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

    :param port: Port to listen on.
    :param record: File for the ground truth.
    :param delay_ms: One-way delay in milliseconds.
    """
    listener = ListenSettings(port, record=record, delay_ms=delay_ms)
    _serve(listener, make_table(RecordWriter(record)))


def objects(*, port: int, delay_ms: float = 0) -> None:
    """
    Run the object store.

    :param port: Port to listen on.
    :param delay_ms: One-way delay in milliseconds.
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

    :param port: Port to listen on.
    :param size_bytes: Size of each version.
    :param bytes_per_second: Rate limit over all readers.
    :param delay_ms: One-way delay in milliseconds.
    """
    app = make_weight_store(size_bytes, bytes_per_second)
    _serve(ListenSettings(port, delay_ms=delay_ms), app)


def hosts(*, port: int, lag_seconds: float = 0, delay_ms: float = 0) -> None:
    """
    Run the host list; entries are put to it over HTTP.

    :param port: Port to listen on.
    :param lag_seconds: Age of what readers see.
    :param delay_ms: One-way delay in milliseconds.
    """
    _serve(ListenSettings(port, delay_ms=delay_ms), make_host_list(lag_seconds))


def engine(  # noqa: WPS211 each is a flag of the program
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

    :param port: Port to listen on.
    :param name: Name of the engine.
    :param model: Model it serves.
    :param weights_address: Where it fetches weights.
    :param version: Version it starts with.
    :param origin: Its ``region/data-centre``.
    :param batch_limit: Largest batch.
    :param tokens_per_second: Rate of one stream in a small batch.
    :param checks_fencing: Whether it refuses old fencing tokens.
    :param record: File for the ground truth.
    :param delay_ms: One-way delay in milliseconds.
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
    Run a plain service.

    :param port: Port to listen on.
    :param name: Name of the replica.
    :param record: File for the ground truth.
    :param delay_ms: One-way delay in milliseconds.
    """
    listener = ListenSettings(port, record=record, delay_ms=delay_ms)
    _serve(listener, make_service(name, RecordWriter(record)))


def scorer(*, port: int, delay_ms: float = 0) -> None:
    """
    Run a scoring service.

    :param port: Port to listen on.
    :param delay_ms: One-way delay in milliseconds.
    """
    _serve(ListenSettings(port, delay_ms=delay_ms), make_scorer())


def main() -> None:
    """Run the stand-in that the arguments name."""
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
