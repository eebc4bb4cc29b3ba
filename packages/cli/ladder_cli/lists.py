"""Commands for the plans and allowances."""

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
    Check that the plans file and the allowances file are valid.

    :param plans: Path of the plans file.
    :param allowances: Path of the allowances file.
    """
    lists = read_lists(plans, allowances)
    sys.stdout.write(
        f'{len(lists.plans)} plans and '
        f'{len(lists.allowances)} allowances are valid\n',
    )


def diff(plans: Path, allowances: Path, *, table: str) -> None:
    """
    Show the changes that applying the two files would make.

    :param plans: Path of the plans file.
    :param allowances: Path of the allowances file.
    :param table: Address of the table service, ip:port.
    """
    proposed = read_lists(plans, allowances)
    accepted = asyncio.run(_read(table))
    if proposed.revision and proposed.revision != accepted.revision:
        sys.stdout.write(
            f'the files are based on revision {proposed.revision}, '
            f'the lists are at revision {accepted.revision} '
            f'by {accepted.author}\n',
        )
    differences = compare_lists(accepted, proposed)
    for difference in differences:
        sys.stdout.write(f'{difference}\n')
    if not differences:
        sys.stdout.write('there are no differences\n')


def apply(
    plans: Path,
    allowances: Path,
    *,
    table: str,
    revision: int = 0,
    author: str = '',
) -> None:
    """
    Replace the accepted lists by the content of the two files.

    :param plans: Path of the plans file.
    :param allowances: Path of the allowances file.
    :param table: Address of the table service, ip:port.
    :param revision: Revision on which the files are based; by default the
        one in the files.
    :param author: Name of the author of the change; by default the user name.
    """
    lists = read_lists(plans, allowances)
    base_revision = revision or lists.revision
    lists = replace(
        lists,
        revision=base_revision + 1,
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
    Show the accepted lists, or write them to files for editing.

    :param table: Address of the table service, ip:port.
    :param plans: File for the plans; by default standard output.
    :param allowances: File for the allowances; by default standard output.
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
