"""An operator: writes the two lists and applies them."""

import asyncio
import hashlib
import sys
from pathlib import Path
from typing import NamedTuple

import yaml

from ladder_standins.fleet import Fleet

_PROGRAM = Path(sys.executable).parent / 'kumquatladder'
_SAMPLES_PER_STEP = 4096
_MAX_REPLICAS = 8


class ListFiles(NamedTuple):
    """The operators' two files."""

    plans: Path
    allowances: Path


def write_lists(folder: Path, secret: str, bound: int = 1) -> ListFiles:
    """
    Write lists with one plan, which may use everything.

    Parameters
    ----------
    folder : Path
        Takes the files.
    secret : str
        Secret of the plan.
    bound : int, optional
        Staleness bound in versions.

    Returns
    -------
    ListFiles
        The files written.

    """
    plan = {
        'name': 'notes',
        'customer': 'cellarwatch',
        'trainer': 'cask-notes',
        'samples_per_step': _SAMPLES_PER_STEP,
        'staleness_versions': bound,
        'secret_sha256': hashlib.sha256(secret.encode()).hexdigest(),
    }
    allowance = {
        'plan': 'notes',
        'pools': ['brewmind', 'taproom', 'scorers'],
        'models': ['cask'],
        'max_replicas': _MAX_REPLICAS,
    }
    files = ListFiles(folder / 'plans.yaml', folder / 'allowances.yaml')
    files.plans.write_text(yaml.safe_dump({'plans': [plan]}))
    files.allowances.write_text(yaml.safe_dump({'allowances': [allowance]}))
    return files


async def apply_lists(
    fleet: Fleet,
    files: ListFiles,
    revision: int = 0,
) -> int:
    """
    Apply the lists with the operators' command line.

    Parameters
    ----------
    fleet : Fleet
        The system.
    files : ListFiles
        The two files.
    revision : int, optional
        Revision at which they were read.

    Returns
    -------
    int
        Exit status of the command line.

    """
    process = await asyncio.create_subprocess_exec(
        str(_PROGRAM),
        'apply',
        str(files.plans),
        str(files.allowances),
        f'--table={fleet.processes.find_address("table")}',
        f'--revision={revision}',
        '--author=quickstart',
    )
    return await process.wait()


async def save_timeline(fleet: Fleet, node: str, path: Path) -> None:
    """
    Write the merged time line of all nodes to a file.

    Parameters
    ----------
    fleet : Fleet
        The system.
    node : str
        Node to ask which others there are.
    path : Path
        The file.

    """
    process = await asyncio.create_subprocess_exec(
        str(_PROGRAM),
        'timeline',
        f'--node={fleet.processes.find_address(node)}',
        stdout=asyncio.subprocess.PIPE,
    )
    events, _ = await process.communicate()
    await asyncio.to_thread(path.write_bytes, events)
