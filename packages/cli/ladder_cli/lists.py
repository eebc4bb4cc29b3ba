"""Commands on the operators' two lists."""

import asyncio
import getpass
import sys
import uuid
from dataclasses import replace
from pathlib import Path

from ladder_cli.clients import open_configuration_store
from ladder_cli.files import update_revision, write_lists
from ladder_core.settings import read_lists
from ladder_core.values import Lists, compare_lists


def check(plans: Path, allowances: Path) -> None:
    """
    Check the two files.

    :param plans: The plans file.
    :param allowances: The allowances file.
    """
    lists = read_lists(plans, allowances)
    sys.stdout.write(
        f'{len(lists.plans)} plans and '
        f'{len(lists.allowances)} allowances are valid\n',
    )


def diff(plans: Path, allowances: Path, *, table: str) -> None:
    """
    Show what applying the two files would change.

    :param plans: The plans file.
    :param allowances: The allowances file.
    :param table: Address of the table service, ip:port.
    """
    wanted = read_lists(plans, allowances)
    present = asyncio.run(_read(table))
    if wanted.revision and wanted.revision != present.revision:
        sys.stdout.write(
            f'the files were read at revision {wanted.revision}, '
            f'the lists are at {present.revision} by {present.author}\n',
        )
    differences = compare_lists(present, wanted)
    for difference in differences:
        sys.stdout.write(f'{difference}\n')
    if not differences:
        sys.stdout.write('nothing differs\n')


def apply(
    plans: Path,
    allowances: Path,
    *,
    table: str,
    revision: int = 0,
    author: str = '',
) -> None:
    """
    Put the two files in force.

    :param plans: The plans file.
    :param allowances: The allowances file.
    :param table: Address of the table service, ip:port.
    :param revision: Revision at which the files were read; by default the
        one that they name.
    :param author: Who applies; the user's name by default.
    """
    lists = read_lists(plans, allowances)
    base = revision or lists.revision
    lists = replace(
        lists,
        revision=base + 1,
        author=author or getpass.getuser(),
        token=uuid.uuid4().hex,
    )
    asyncio.run(_apply(lists, table))
    for path in (plans, allowances):
        update_revision(path, lists.revision)
    sys.stdout.write(f'revision {lists.revision} is accepted\n')


def show(
    *,
    table: str,
    plans: Path | None = None,
    allowances: Path | None = None,
) -> None:
    """
    Show the lists that are accepted, or write them to two files to edit.

    :param table: Address of the table service, ip:port.
    :param plans: Takes the plans instead of standard output.
    :param allowances: Takes the allowances instead of standard output.
    """
    lists = asyncio.run(_read(table))
    sys.stdout.write(
        f'# revision {lists.revision} by {lists.author or "nobody"}, '
        f'token {lists.token or "none"}\n',
    )
    write_lists(lists, plans, allowances)


async def _read(address: str) -> Lists:
    async with open_configuration_store(address) as store:
        return await store.read_lists()


async def _apply(lists: Lists, address: str) -> None:
    async with open_configuration_store(address) as store:
        await store.edit(lists)
