"""Rows with the counts of one node."""

import asyncio

import pytest

from ladder_node.usage.metrics import DROPPED
from ladder_node.usage.rows import (
    COUNTS_TABLE,
    decode_counts,
    find_part,
    find_row_node,
    find_row_window,
)
from ladder_node.usage.tests.fakes import WINDOW_SECONDS, Deployment
from ladder_standins.memory_table import TableFault


@pytest.fixture
async def deployment():
    deployment = Deployment()
    yield deployment
    await deployment.close()


@pytest.fixture
async def node(deployment):
    return await deployment.add('anna', is_candidate=False)


def read_rows(deployment):
    rows = deployment.rows.scan(COUNTS_TABLE, part=find_part('anna'))
    return {find_row_window(row): decode_counts(row).counts for row in rows}


def count_commits(node):
    commits = []
    commit = node.table.commit

    async def counted(transaction):
        commits.append(transaction)
        return await commit(transaction)

    node.table.commit = counted
    return commits


async def test_node_without_counts_writes_nothing(deployment, node):
    commits = count_commits(node)
    await deployment.timers.advance(60)
    assert not commits


async def test_row_is_written_in_mid_window_and_after_it(deployment, node):
    commits = count_commits(node)
    window = deployment.window
    node.send(number=2)
    await deployment.advance_to(window, 4)
    assert read_rows(deployment) == {window: {'acme': 2}}
    node.send(number=1)
    await deployment.timers.advance(60)
    assert read_rows(deployment) == {window: {'acme': 3}}
    assert len(commits) == 2


async def test_row_names_its_node_and_the_offset_of_its_clock(deployment, node):
    node.timers.wall_error = 7
    await deployment.timers.advance(90)
    node.send()
    await deployment.timers.advance(6)
    row = deployment.rows.scan(COUNTS_TABLE, part=find_part('anna'))[0]
    assert find_row_node(row) == 'anna'
    assert decode_counts(row).clock_offset == pytest.approx(7000, abs=2)


async def test_late_write_does_not_replace_a_newer_one(deployment, node):
    """A write without an answer may take effect after the next write."""
    window = deployment.window
    node.table.faults = [TableFault.late_request]
    node.send(number=2)
    await deployment.advance_to(window, 3.9)
    node.send(number=3)
    await deployment.advance_to(window + 1, 2)
    assert read_rows(deployment) == {window: {'acme': 5}}
    for transaction in node.table.late_transactions:
        node.table.apply(transaction)
    assert read_rows(deployment) == {window: {'acme': 5}}


async def test_write_whose_answer_was_lost_is_followed_by_the_next(
    deployment, node
):
    window = deployment.window
    node.table.faults = [TableFault.lost_answer]
    node.send(number=2)
    await deployment.advance_to(window, 3.9)
    node.send(number=3)
    await deployment.advance_to(window + 1, 2)
    assert read_rows(deployment) == {window: {'acme': 5}}


async def test_windows_of_an_outage_are_written_at_once(deployment, node):
    window = deployment.window
    node.table.default_fault = TableFault.down
    for _ in range(5):
        node.send()
        await deployment.timers.advance(WINDOW_SECONDS)
    node.table.default_fault = TableFault.none
    commits = count_commits(node)
    await deployment.timers.advance(3)
    assert len(commits) == 1
    assert read_rows(deployment) == {
        window + number: {'acme': 1} for number in range(5)
    }


async def test_windows_are_not_kept_without_bound(deployment, node):
    dropped = DROPPED._value.get()
    node.table.default_fault = TableFault.down
    for _ in range(100):
        node.send()
        await deployment.timers.advance(WINDOW_SECONDS)
    assert len(node.counter.list_unsaved(deployment.window)) <= 61
    assert DROPPED._value.get() - dropped == pytest.approx(39, abs=2)
    node.table.default_fault = TableFault.none
    await deployment.timers.advance(20)
    assert not node.counter.list_unsaved(deployment.window)


async def test_stop_ends_in_time_if_the_store_is_silent(deployment, node):
    """The node has about a second to close, also for its leases."""
    node.send()

    async def never(transaction):
        await deployment.timers.sleep(1000)

    node.table.commit = never
    async with asyncio.timeout(5):
        await node.saver.close()
