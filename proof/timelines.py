"""Files with the timelines of the nodes of a run."""

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
    Write the timeline of each node to the file ``<node>.timeline``.

    Parameters
    ----------
    fleet : Fleet
        Processes of the running system.
    names : sequence of str
        Names of the nodes. There is no file for a node that does not
        respond in time.
    folder : Path
        Folder for the files.

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
