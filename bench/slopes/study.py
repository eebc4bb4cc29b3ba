"""Measure the roles of a node, each at several sizes and several times."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from bench.slopes.fit import LinearFit, Point, fit
from bench.slopes.load_roles import (
    EntryRole,
    KeyedRole,
    RouterRole,
    StepRole,
)
from bench.slopes.local_roles import PeerChoiceRole, TimelineRole
from bench.slopes.probe import NodeProbe
from bench.slopes.role import Role, Scale
from bench.slopes.state_roles import (
    ConfigurationRole,
    FleetRole,
    GossipRole,
    MembershipRole,
    PoolRole,
)

ROLES: tuple[type[Role], ...] = (
    EntryRole,
    RouterRole,
    KeyedRole,
    StepRole,
    PoolRole,
    ConfigurationRole,
    MembershipRole,
    GossipRole,
    FleetRole,
    PeerChoiceRole,
    TimelineRole,
)


@dataclass(frozen=True, slots=True)
class RoleCost:
    """
    What a role costs.

    Attributes
    ----------
    title : str
        Name of the role.
    scale : Scale
        Its sizes.
    is_control : bool
        Whether it counts towards the budget of control.
    cpu : Line
        Milliseconds of processor time a second.
    memory : Line
        Megabytes.
    reads, writes : Line
        Requests to the table service a second.
    control_bytes : Line
        Bytes a second.

    """

    title: str
    scale: Scale
    is_control: bool
    cpu: LinearFit
    memory: LinearFit
    reads: LinearFit
    writes: LinearFit
    control_bytes: LinearFit


async def study_roles(folder: Path, repeats: int) -> list[RoleCost]:
    """
    Measure every role.

    Parameters
    ----------
    folder : Path
        Takes the processes' files.
    repeats : int
        Times that each role is measured, on a fresh node each time.

    Returns
    -------
    list of RoleCost
        One for each role.

    """
    costs = []
    for kind in ROLES:
        # The repeats run side by side: what counts is processor time.
        measured = await asyncio.gather(
            *(_measure(kind, folder, repeat) for repeat in range(repeats)),
        )
        points = [point for points in measured for point in points]
        print(f'{kind.title}: {repeats} repeats', flush=True)
        costs.append(_make_cost(kind, points))
    return costs


async def _measure(
    kind: type[Role],
    folder: Path,
    repeat: int,
) -> list[Point]:
    name = f'{kind.__name__}-{repeat}'
    async with _start_probe(folder / name) as probe:
        role = kind(probe)
        return [
            Point(repeat, size, await role.measure(size))
            for size in kind.scale.sizes
        ]


@contextlib.asynccontextmanager
async def _start_probe(folder: Path) -> AsyncIterator[NodeProbe]:
    probe = NodeProbe(folder)
    try:
        await probe.start()
        yield probe
    finally:
        await probe.close()


def _make_cost(kind: type[Role], points: Sequence[Point]) -> RoleCost:
    return RoleCost(
        title=kind.title,
        scale=kind.scale,
        is_control=kind.is_control,
        cpu=fit(points, lambda usage: usage.cpu),
        memory=fit(points, lambda usage: usage.memory),
        reads=fit(points, lambda usage: usage.reads),
        writes=fit(points, lambda usage: usage.writes),
        control_bytes=fit(points, lambda usage: usage.control_bytes),
    )
