"""Keep the nodes' time lines of a run."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

import aiohttp

from ladder_standins.fleet import Fleet

_REQUEST_TIMEOUT_SECONDS = 3


async def save_timelines(
    fleet: Fleet,
    names: Sequence[str],
    folder: Path,
) -> None:
    """
    Write each node's time line to ``<node>.timeline``.

    Parameters
    ----------
    fleet : Fleet
        The running system.
    names : sequence of str
        Names of its nodes; one that doesn't answer has no file.
    folder : Path
        Takes the files.

    """
    await asyncio.gather(*(_save(fleet, name, folder) for name in names))


async def _save(fleet: Fleet, name: str, folder: Path) -> None:
    try:
        async with asyncio.timeout(_REQUEST_TIMEOUT_SECONDS):
            body = await fleet.controls.send(name, 'GET', '/v1/timeline')
    except (aiohttp.ClientError, KeyError, TimeoutError):
        return
    path = folder / f'{name}.timeline'
    await asyncio.to_thread(path.write_bytes, body)
