"""Stand-in for an operator: writes and applies the two lists."""

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
    """Files with the operators' lists of plans and of allowances."""

    plans: Path
    allowances: Path


def write_lists(folder: Path, secret: str, bound: int = 1) -> ListFiles:
    """
    Write lists with one plan that may use all pools and models.

    Parameters
    ----------
    folder : Path
        Folder for the two files.
    secret : str
        Secret of the plan; the file has its hash.
    bound : int, optional
        Staleness bound of the plan, in versions.

    Returns
    -------
    ListFiles
        Paths of the files.

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
    Apply the lists with the operators' command line program.

    Parameters
    ----------
    fleet : Fleet
        System whose table service stores the lists.
    files : ListFiles
        Files with the lists to apply.
    revision : int, optional
        Revision of the stored lists that the files are based on.

    Returns
    -------
    int
        Exit status of the program.

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
    Write the merged timeline of all nodes to a file.

    Parameters
    ----------
    fleet : Fleet
        System whose nodes are asked.
    node : str
        Name of the node that is asked for the list of all nodes.
    path : Path
        File to write; an older one is replaced.

    """
    process = await asyncio.create_subprocess_exec(
        str(_PROGRAM),
        'timeline',
        f'--node={fleet.processes.find_address(node)}',
        stdout=asyncio.subprocess.PIPE,
    )
    events, _ = await process.communicate()
    await asyncio.to_thread(path.write_bytes, events)
