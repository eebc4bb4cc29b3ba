import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ladder_clients.configuration import ConfigurationStore
from ladder_clients.table import (
    StoreOutcomeUnknownError,
    Transaction,
    Write,
)
from ladder_core.errors import ConflictError, LadderError
from ladder_core.values import Allowance, HeadlineMetric, Lists, Plan
from ladder_standins.memory_table import MemoryTable, TableFault


def make_lists(revision, author, *plans, token=''):
    return Lists(
        revision,
        tuple(Plan(name, 'cellarwatch', name) for name in plans),
        tuple(Allowance(name) for name in plans),
        author,
        token or f'{author}-{revision}',
    )


async def test_edit_is_read_back_and_polled_by_its_revision():
    store = ConfigurationStore(MemoryTable())
    assert await store.read_newer(0) is None
    lists = make_lists(1, 'ada', 'notes')
    await store.edit(lists)
    assert await store.read_lists() == lists
    assert await store.read_newer(0) == lists
    assert await store.read_newer(1) is None


async def test_edit_after_writes_of_other_rows_is_accepted():
    table = MemoryTable()
    store = ConfigurationStore(table)
    await store.edit(make_lists(1, 'ada', 'notes'))
    table.apply(Transaction('other', (), (Write('leases', 'a', 'b'),)))
    second = make_lists(2, 'ada', 'notes', 'offers')
    await store.edit(second)
    assert await store.read_lists() == second


async def test_rejected_edit_names_the_author_and_the_change():
    store = ConfigurationStore(MemoryTable())
    first = make_lists(1, 'ada', 'notes')
    await store.edit(first)
    plan = Plan(
        'notes', 'cellarwatch', 'notes', weighs=HeadlineMetric.staleness
    )
    await store.edit(Lists(2, (plan,), first.allowances, 'bob', 'bob-2'))
    with pytest.raises(ConflictError) as caught:
        await store.edit(make_lists(2, 'cyd', 'notes', 'offers'))
    message = caught.value.message
    assert 'revision 2 by bob' in message
    assert 'plan notes changed (weighs: idle -> staleness)' in message
    assert 'ada' not in message


@pytest.mark.parametrize(
    'fault',
    [TableFault.lost_answer, TableFault.lost_request, TableFault.late_request],
)
async def test_edit_whose_answer_is_lost_takes_effect_once(fault):
    table = MemoryTable()
    store = ConfigurationStore(table)
    table.faults = [TableFault.none, fault]
    lists = make_lists(1, 'ada', 'notes')
    await store.edit(lists)
    for late in table.late_transactions:
        await table.commit(late)
    assert await store.read_lists() == lists


async def test_unknown_outcome_differs_from_a_failed_edit():
    table = MemoryTable()
    store = ConfigurationStore(table)
    table.faults = [TableFault.none, TableFault.lost_answer]
    table.default_fault = TableFault.down
    with pytest.raises(StoreOutcomeUnknownError) as caught:
        await store.edit(make_lists(1, 'ada', 'notes', token='edit-1'))
    assert 'edit-1' in caught.value.remedy
    table.default_fault = TableFault.none
    assert (await store.read_lists()).token == 'edit-1'
    # Applying the edit again succeeds, because its token is already committed.
    await store.edit(make_lists(1, 'ada', 'notes', token='edit-1'))


async def test_oldest_changes_are_deleted():
    store = ConfigurationStore(MemoryTable())
    for revision in range(1, 104):
        await store.edit(make_lists(revision, 'ada', f'plan-{revision}'))
    changes = await store.read_changes(0)
    assert len(changes) == 100
    assert changes[-1].revision == 103


FAULTS = st.lists(
    st.sampled_from(list(TableFault)),
    max_size=8,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(FAULTS, st.lists(st.sampled_from(['ada', 'bob']), max_size=6))
async def test_accepted_edits_are_never_lost_or_overwritten(faults, authors):
    table = MemoryTable()
    store = ConfigurationStore(table)
    table.faults = list(faults)
    accepted = []
    base = dict.fromkeys(('ada', 'bob'), 0)
    for number, author in enumerate(authors):
        lists = make_lists(base[author] + 1, author, token=f'edit-{number}')
        try:
            await store.edit(lists)
        except ConflictError:
            base[author] += 1
        except LadderError:
            continue
        else:
            base[author] = lists.revision
            accepted.append(lists)
    table.faults.clear()
    for late in table.late_transactions:
        await table.commit(late)
    revisions = [lists.revision for lists in accepted]
    assert len(set(revisions)) == len(revisions)
    changes = await store.read_changes(0)
    made = {(change.revision, change.author) for change in changes}
    assert {(one.revision, one.author) for one in accepted} <= made
