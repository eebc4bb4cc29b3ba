"""Commands on the operators' two lists."""

import asyncio
import getpass
import sys
import uuid
from dataclasses import replace
from pathlib import Path

import msgspec

from ladder_clients.table import (
    Condition,
    HttpTableClient,
    Outcome,
    TableClient,
    Transaction,
    Write,
)
from ladder_clients.table.errors import StoreOutcomeUnknownError
from ladder_clients.transport import HttpClient
from ladder_core.errors import ConflictError
from ladder_core.settings import read_lists
from ladder_core.values import Lists

CONFIGURATION_TABLE = 'configuration'
LISTS_KEY = 'lists'
REVISION_KEY = 'revision'


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
    :param revision: Revision at which the files were read.
    :param author: Who applies; the user's name by default.
    """
    lists = replace(
        read_lists(plans, allowances),
        revision=revision + 1,
        author=author or getpass.getuser(),
        token=uuid.uuid4().hex,
    )
    asyncio.run(_apply(lists, table))
    sys.stdout.write(f'revision {lists.revision} is accepted\n')


async def _apply(lists: Lists, address: str) -> None:
    http = HttpClient()
    await http.start()
    try:
        outcome = await _commit(HttpTableClient(http, address), lists)
    finally:
        await http.close()
    if not outcome.committed:
        raise _make_conflict(outcome, lists)


async def _commit(table: TableClient, lists: Lists) -> Outcome:
    body = msgspec.json.encode(lists).decode()
    transaction = Transaction(
        lists.token,
        (Condition(CONFIGURATION_TABLE, LISTS_KEY, lists.revision - 1),),
        (
            Write(CONFIGURATION_TABLE, LISTS_KEY, body),
            # Nodes poll this small row and read the lists when it rises.
            Write(CONFIGURATION_TABLE, REVISION_KEY, str(lists.revision)),
        ),
    )
    try:
        return await table.commit(transaction)
    except StoreOutcomeUnknownError:
        outcome = await table.read_outcome(lists.token)
    return outcome or await table.commit(transaction)


def _make_conflict(outcome: Outcome, lists: Lists) -> ConflictError:
    row = outcome.conflicts[0]
    author = 'nobody'
    if row.revision:
        author = msgspec.json.decode(row.body, type=Lists).author
    return ConflictError(
        f'the lists are at revision {row.revision} by {author}, '
        f'not at {lists.revision - 1}',
        remedy='read the present lists, merge your change and apply again',
    )
