"""Measurement of the roles of a node at several sizes, with repeats."""

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
    Cost of a role, as lines over its size.

    Attributes
    ----------
    title : str
        Name of the role in the tables.
    scale : Scale
        Sizes at which the role was measured.
    is_control : bool
        Whether the role counts towards the budget of the control tasks.
    cpu : LinearFit
        Processor time in milliseconds a second.
    memory : LinearFit
        Resident memory in megabytes.
    reads, writes : LinearFit
        Requests to the table service a second.
    control_bytes : LinearFit
        Bytes a second of the services of the platform and of engine states.

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
    Measure the cost of every role.

    Parameters
    ----------
    folder : Path
        Folder for the files of the processes.
    repeats : int
        Number of times that each role is measured, on a new node each
        time.

    Returns
    -------
    list of RoleCost
        Costs in the order of the roles.

    """
    costs = []
    for role_class in ROLES:
        # The repeats run concurrently, because only the processor time of each
        # node counts, not the elapsed time.
        measured = await asyncio.gather(
            *(
                _measure(role_class, folder, repeat)
                for repeat in range(repeats)
            ),
        )
        points = [point for points in measured for point in points]
        print(f'{role_class.title}: {repeats} repeats', flush=True)
        costs.append(_make_cost(role_class, points))
    return costs


async def _measure(
    role_class: type[Role],
    folder: Path,
    repeat: int,
) -> list[Point]:
    name = f'{role_class.__name__}-{repeat}'
    async with _start_probe(folder / name) as probe:
        role = role_class(probe)
        return [
            Point(repeat, size, await role.measure(size))
            for size in role_class.scale.sizes
        ]


@contextlib.asynccontextmanager
async def _start_probe(folder: Path) -> AsyncIterator[NodeProbe]:
    probe = NodeProbe(folder)
    try:
        await probe.start()
        yield probe
    finally:
        await probe.close()


def _make_cost(role_class: type[Role], points: Sequence[Point]) -> RoleCost:
    return RoleCost(
        title=role_class.title,
        scale=role_class.scale,
        is_control=role_class.is_control,
        cpu=fit(points, lambda usage: usage.cpu),
        memory=fit(points, lambda usage: usage.memory),
        reads=fit(points, lambda usage: usage.reads),
        writes=fit(points, lambda usage: usage.writes),
        control_bytes=fit(points, lambda usage: usage.control_bytes),
    )
