"""Reports of usage under failures of nodes, the store and the platform."""

import random

import pytest

from ladder_clients.cloud import CallOutcome
from ladder_clients.table import Transaction, Write
from ladder_node.usage import ReportTerms
from ladder_node.usage.ledger import ReportLedger
from ladder_node.usage.metrics import LATE_REQUESTS, LATE_ROWS
from ladder_node.usage.rows import (
    COUNTS_TABLE,
    PROGRESS_KEY,
    REPORTS_TABLE,
    ReportRow,
    list_parts,
)
from ladder_node.usage.tests.fakes import (
    HANDOVER_SECONDS,
    LATE_SECONDS,
    TERM,
    WINDOW_SECONDS,
    Deployment,
)
from ladder_standins.memory_table import TableFault


@pytest.fixture
async def deployment():
    deployment = Deployment()
    yield deployment
    await deployment.close()


def list_count_rows(deployment):
    return [
        row
        for part in list_parts()
        for row in deployment.rows.scan(COUNTS_TABLE, part=part)
    ]


async def test_report_is_the_sum_over_all_nodes(deployment):
    anna = await deployment.add('anna')
    bert = await deployment.add('bert')
    window = deployment.window
    anna.send('acme', 3)
    bert.send('acme', 2)
    bert.send('zenith', 1)
    await deployment.advance_to(window + 4)
    counts = deployment.platform.counts
    assert counts[window] == {'acme': 5, 'zenith': 1}
    # A window without requests is reported, too.
    assert not counts[window + 1]
    assert deployment.platform.find_delay(window) < LATE_SECONDS


async def test_nothing_is_reported_before_the_first_request(deployment):
    anna = await deployment.add('anna')
    await deployment.timers.advance(60)
    assert not deployment.platform.reports
    window = deployment.window
    anna.send()
    await deployment.timers.advance(30)
    assert min(deployment.platform.counts) == window


async def test_node_without_organisations_makes_no_store_calls(deployment):
    deployment.routes.current.organisations = None
    await deployment.add('anna')
    await deployment.timers.advance(30)
    assert deployment.rows.revision == 0
    assert not deployment.platform.reports


async def test_holder_killed_between_freeze_and_send(deployment):
    """The next holder sends the frozen report, although a row came late."""
    deployment.platform.default_outcome = CallOutcome.unavailable
    anna = await deployment.add('anna')
    carl = await deployment.add('carl', is_candidate=False)
    window = deployment.window
    carl.send(number=2)
    await deployment.advance_to(window + 1, 4)
    assert deployment.rows.scan(REPORTS_TABLE)
    await anna.kill()
    await carl.save_late(window, {'acme': 9})
    deployment.platform.default_outcome = CallOutcome.done
    await deployment.add('bert')
    await deployment.timers.advance(30)
    assert deployment.platform.counts[window] == {'acme': 2}
    assert {one.holder for one in deployment.platform.reports} == {'bert'}
    assert deployment.platform.find_delay(window) < LATE_SECONDS + 2


async def test_report_without_an_answer_is_sent_again_unchanged(deployment):
    deployment.platform.outcomes = [CallOutcome.unknown for _ in range(3)]
    anna = await deployment.add('anna')
    window = deployment.window
    anna.send(number=4)
    await deployment.advance_to(window + 5)
    sent = [one for one in deployment.platform.reports if one.window == window]
    assert len(sent) == 4
    assert deployment.platform.counts[window] == {'acme': 4}


async def test_row_after_the_freeze_is_left_out_and_measured(deployment):
    before = (LATE_ROWS._value.get(), LATE_REQUESTS._value.get())
    anna = await deployment.add('anna')
    bert = await deployment.add('bert', is_candidate=False)
    window = deployment.window
    anna.send(number=1)
    bert.send(number=7)
    bert.table.default_fault = TableFault.down
    await deployment.advance_to(window + 2)
    bert.table.default_fault = TableFault.none
    await deployment.timers.advance(30 * WINDOW_SECONDS)
    assert deployment.platform.counts[window] == {'acme': 1}
    after = (LATE_ROWS._value.get(), LATE_REQUESTS._value.get())
    assert (after[0] - before[0], after[1] - before[1]) == (1, 7)
    assert len(anna.list_events('usage-row-late')) == 1


async def test_late_row_before_the_freeze_counts(deployment):
    await deployment.add('anna')
    bert = await deployment.add('bert', is_candidate=False)
    window = deployment.window
    bert.send(number=7)
    bert.table.default_fault = TableFault.down
    await deployment.advance_to(window + 1, 2)
    bert.table.default_fault = TableFault.none
    await deployment.advance_to(window + 4)
    assert deployment.platform.counts[window] == {'acme': 7}


async def test_refused_holder_releases_the_duty(deployment):
    """After a 409 the next report has a higher token and equal counts."""
    anna = await deployment.add('anna')
    window = deployment.window
    anna.send(number=3)
    deployment.platform.outcomes = [CallOutcome.refused]
    await deployment.advance_to(window + 6)
    assert deployment.platform.counts[window] == {'acme': 3}
    begun = anna.list_events('duty-begun')
    assert [one.fields['epoch'] for one in begun] == ['1', '2']
    assert {one.token for one in deployment.platform.reports} == {2}


async def test_nothing_is_sent_while_the_store_is_away(deployment):
    anna = await deployment.add('anna')
    first = deployment.window
    await deployment.advance_to(first + 3, 4)
    anna.table.default_fault = TableFault.down
    count = len(deployment.platform.reports)
    away_at = deployment.timers.now()
    for _ in range(6):
        anna.send()
        await deployment.timers.advance(WINDOW_SECONDS)
    late = deployment.platform.reports[count:]
    assert all(one.at <= away_at + 1.9 for one in late)
    anna.table.default_fault = TableFault.none
    await deployment.timers.advance(15)
    counts = deployment.platform.counts
    assert all(counts[first + 3 + one] == {'acme': 1} for one in range(6))


async def test_killed_node_loses_only_what_it_counted_since_mid_window(
    deployment,
):
    await deployment.add('anna')
    bert = await deployment.add('bert', is_candidate=False)
    window = deployment.window
    bert.send(number=5)
    await deployment.advance_to(window, 4)
    bert.send(number=2)
    await bert.kill()
    await deployment.advance_to(window + 4)
    assert deployment.platform.counts[window] == {'acme': 5}


async def test_planned_stop_saves_what_was_counted_last(deployment):
    await deployment.add('anna')
    bert = await deployment.add('bert', is_candidate=False)
    window = deployment.window
    bert.send(number=5)
    await deployment.advance_to(window, 4)
    bert.send(number=2)
    await bert.close()
    await deployment.advance_to(window + 4)
    assert deployment.platform.counts[window] == {'acme': 7}


async def test_planned_stop_of_the_holder_delays_no_report(deployment):
    anna = await deployment.add('anna')
    bert = await deployment.add('bert')
    window = deployment.window
    for _ in range(6):
        bert.send()
        await deployment.timers.advance(WINDOW_SECONDS)
    await anna.close()
    await deployment.timers.advance(4 * WINDOW_SECONDS)
    platform = deployment.platform
    assert {one.holder for one in platform.reports} == {'anna', 'bert'}
    platform.check_tokens()
    delays = [platform.find_delay(window + one) for one in range(8)]
    # The first window also waits for the first holder's hand-over time.
    assert max(delays) < LATE_SECONDS


async def test_platform_that_was_down_gets_all_windows_in_time_first(
    deployment,
):
    anna = await deployment.add('anna')
    first = deployment.window
    deployment.platform.default_outcome = CallOutcome.unavailable
    for number in range(8):
        anna.send(number=number + 1)
        await deployment.timers.advance(WINDOW_SECONDS)
    deployment.platform.default_outcome = CallOutcome.done
    await deployment.timers.advance(4)
    counts = deployment.platform.counts
    assert [counts[first + one] for one in range(8)] == [
        {'acme': one + 1} for one in range(8)
    ]
    order = [one.window for one in deployment.platform.reports]
    assert order[0] > first + 4
    assert deployment.platform.find_delay(order[0]) < LATE_SECONDS


async def test_new_holder_first_sends_what_can_still_be_in_time(deployment):
    anna = await deployment.add('anna')
    deployment.platform.default_outcome = CallOutcome.unavailable
    for _ in range(8):
        anna.send()
        await deployment.timers.advance(WINDOW_SECONDS)
    await anna.kill()
    deployment.platform.default_outcome = CallOutcome.done
    await deployment.add('bert')
    await deployment.timers.advance(15)
    first = deployment.platform.reports[0].window
    assert deployment.platform.find_delay(first) < LATE_SECONDS
    assert len(deployment.platform.counts) >= 8


async def test_report_that_always_fails_does_not_delay_the_others(deployment):
    anna = await deployment.add('anna')
    first = deployment.window
    deployment.platform.rejected_windows = {first + 1}
    for _ in range(8):
        anna.send()
        await deployment.timers.advance(WINDOW_SECONDS)
    platform = deployment.platform
    assert first + 1 not in platform.counts
    delays = [platform.find_delay(first + one) for one in range(2, 6)]
    assert max(delays) < LATE_SECONDS / 2


async def test_windows_that_are_far_too_old_are_given_up(deployment):
    anna = await deployment.add('anna')
    first = deployment.window
    anna.send()
    deployment.platform.default_outcome = CallOutcome.unavailable
    await deployment.advance_to(first + 80)
    deployment.platform.default_outcome = CallOutcome.done
    await deployment.timers.advance(30)
    assert first not in deployment.platform.counts
    assert max(deployment.platform.counts) >= first + 80
    assert anna.list_events('usage-given-up')
    # Reports that were given up are removed like answered ones.
    assert len(deployment.rows.scan(REPORTS_TABLE)) < 10


async def test_new_holder_after_a_long_time_skips_old_windows(deployment):
    anna = await deployment.add('anna')
    first = deployment.window
    anna.send()
    await deployment.advance_to(first + 4)
    await anna.close()
    await deployment.advance_to(first + 500)
    bert = await deployment.add('bert')
    bert.send()
    await deployment.advance_to(first + 510)
    assert len(bert.list_events('usage-skipped')) == 1
    assert deployment.platform.counts[first + 500] == {'acme': 1}
    assert len(deployment.platform.counts) < 80


@pytest.mark.parametrize(
    'fault',
    [TableFault.lost_answer, TableFault.lost_request, TableFault.late_request],
)
async def test_freeze_without_an_answer_freezes_each_window_once(
    deployment, fault
):
    """The report that is sent is the one in the store, whatever is late."""
    anna = await deployment.add('anna')
    bert = await deployment.add('bert', is_candidate=False)
    window = deployment.window
    bert.send(number=2)
    await deployment.advance_to(window + 1, 2.9)
    commit = anna.table.commit
    lose_next_freeze(anna, fault)
    await deployment.advance_to(window + 1, 3.5)
    await bert.save_late(window, {'acme': 9})
    await deployment.advance_to(window + 6)
    for transaction in anna.table.late_transactions:
        anna.table.apply(transaction)
    await deployment.advance_to(window + 9)
    assert anna.table.commit == commit
    expected = 2 if fault is TableFault.lost_answer else 9
    assert deployment.platform.counts[window] == {'acme': expected}


def lose_next_freeze(node, fault):
    """Let the next freeze of a node have no answer."""
    commit = node.table.commit

    async def commit_with_fault(transaction):
        if any(one.table == REPORTS_TABLE for one in transaction.writes):
            node.table.faults = [fault]
            node.table.commit = commit
        return await commit(transaction)

    node.table.commit = commit_with_fault


async def test_late_freeze_does_not_replace_a_report_that_was_sent(
    deployment,
):
    """A freeze without an answer may take effect after the next freeze."""
    deployment.platform.default_outcome = CallOutcome.unknown
    anna = await deployment.add('anna')
    bert = await deployment.add('bert', is_candidate=False)
    window = deployment.window
    bert.send(number=2)
    await deployment.advance_to(window + 1, 2.9)
    lose_next_freeze(anna, TableFault.late_request)
    await deployment.advance_to(window + 1, 3.5)
    await bert.save_late(window, {'acme': 9})
    await deployment.advance_to(window + 3)
    assert deployment.platform.counts[window] == {'acme': 9}
    anna.table.apply(anna.table.late_transactions[0])
    await anna.kill()
    deployment.platform.default_outcome = CallOutcome.done
    await deployment.add('carl')
    await deployment.advance_to(window + 7)
    senders = {
        one.holder
        for one in deployment.platform.reports
        if one.window == window
    }
    assert senders == {'anna', 'carl'}
    assert deployment.platform.counts[window] == {'acme': 9}


async def test_holder_that_lost_the_lease_freezes_nothing(deployment):
    anna = await deployment.add('anna')
    anna.send()
    await deployment.timers.advance(15)
    lease = anna.leases.find_own('usage')
    await anna.reporter.close()
    ledger = ReportLedger(anna.table)
    state = await ledger.load()
    window = state.next_window or 0
    report = ReportRow(window, {'acme': 1})
    assert not await ledger.freeze(lease, state, [report], window + 1, ())
    assert (await ledger.load()).next_window == window


async def test_rows_of_reported_windows_are_removed(deployment):
    anna = await deployment.add('anna')
    for _ in range(60):
        anna.send()
        await deployment.timers.advance(WINDOW_SECONDS)
    assert len(list_count_rows(deployment)) < 30
    assert len(deployment.rows.scan(REPORTS_TABLE)) < 4


async def test_holder_whose_clock_is_ahead_does_not_freeze_too_early(
    deployment,
):
    nodes = [
        await deployment.add(name, is_candidate=False)
        for name in ('bert', 'carl', 'dora')
    ]
    for node in nodes:
        node.send()
    await deployment.timers.advance(2 * WINDOW_SECONDS)
    anna = await deployment.add('anna', is_candidate=False)
    anna.timers.wall_error = 30
    await anna.reporter.start()
    window = deployment.window
    for _ in range(6):
        for node in nodes:
            node.send()
        await deployment.timers.advance(WINDOW_SECONDS)
    counts = deployment.platform.counts
    assert all(counts[window + one] == {'acme': 3} for one in range(4))


async def test_step_of_the_clock_that_is_taken_back_moves_no_request(
    deployment,
):
    anna = await deployment.add('anna')
    window = deployment.window
    for number in range(12):
        anna.timers.wall_error = -20 if number in {6, 7} else 0
        anna.send()
        await deployment.timers.advance(WINDOW_SECONDS)
    counts = deployment.platform.counts
    assert all(counts[window + one] == {'acme': 1} for one in range(9))


def fail_at_random(rng, node, platform):
    """Bring about one failure of a node or of the platform, or end one."""
    action = rng.random()
    if action < 0.05:
        node.table.default_fault = TableFault.down
    elif action < 0.13:
        node.table.faults = [rng.choice(tuple(TableFault)) for _ in range(3)]
    elif action < 0.3:
        node.table.default_fault = TableFault.none
    if action > 0.9:
        platform.outcomes = [rng.choice(tuple(CallOutcome)) for _ in range(4)]


async def run_random_failures(seed):
    """Run four candidates under random failures of one kind after another."""
    rng = random.Random(seed)
    deployment = Deployment()
    platform = deployment.platform
    platform.late_seconds = rng.uniform(0, HANDOVER_SECONDS - 0.5)
    nodes = [await deployment.add(f'node-{one}') for one in range(4)]
    for step in range(150):
        await deployment.timers.advance(rng.uniform(0.2, 1.5))
        for node in nodes:
            node.send(rng.choice(('acme', 'zenith')))
        node = rng.choice(nodes)
        if rng.random() < 0.03:
            await node.kill()
            nodes.remove(node)
            nodes.append(await deployment.add(f'later-{step}'))
        else:
            fail_at_random(rng, node, platform)
        for one in nodes:
            if one.table.late_transactions and rng.random() < 0.3:
                one.table.apply(one.table.late_transactions.pop(0))
    for node in nodes:
        node.table.default_fault = TableFault.none
    await deployment.timers.advance(60)
    await deployment.close()
    return platform


async def test_no_failure_gives_a_window_two_counts_or_mixes_tokens():
    holders: set[tuple[int, str]] = set()
    for seed in range(8):
        platform = await run_random_failures(seed)
        platform.check_tokens()
        assert len(platform.counts) > 20
        holders.update((seed, one.holder) for one in platform.reports)
    # The duty has moved, so the failures were not without effect.
    assert len(holders) > 16


def test_hand_over_fits_into_the_time_for_a_report():
    """A report whose holder is killed at the freeze is still in time."""
    terms = ReportTerms(HANDOVER_SECONDS, LATE_SECONDS)
    # The third in the order of candidates tries this often.
    takeover_seconds = TERM.duration_seconds + 0.5 * 1.25**2
    seconds = terms.freeze_seconds + takeover_seconds + HANDOVER_SECONDS
    assert seconds < LATE_SECONDS - 0.5


async def write_row(node, table, key, body, part=''):
    """Write a row as another writer than this build leaves it."""
    write = Write(table, key, body, part)
    await node.table.commit(Transaction(key, (), (write,)))


HUGE = '9' * 40
DEEP = '[' * 5000
ODD_ROWS = {
    'counts that are no number': '{"counts":{"acme":"3"}}',
    'a count beyond 64 bits': f'{{"counts":{{"acme":{HUGE}}}}}',
    'a negative count': '{"counts":{"acme":-5}}',
    'an offset beyond 64 bits': f'{{"counts":{{}},"clock_offset":{HUGE}}}',
    'no JSON': '\ufffd{',
    'deep nesting': f'{{"counts":{DEEP}',
}


@pytest.mark.parametrize('body', ODD_ROWS.values(), ids=ODD_ROWS)
async def test_odd_counts_of_a_stranger_cost_only_themselves(deployment, body):
    """One bad row must not stop the reports of all organisations."""
    anna = await deployment.add('anna')
    window = deployment.window
    anna.send(number=2)
    key = f'{window:012d}/stranger/x'
    await write_row(anna, COUNTS_TABLE, key, body, list_parts()[0])
    await deployment.advance_to(window + 4)
    assert deployment.platform.counts[window] == {'acme': 2}
    assert not deployment.platform.counts[window + 1]


@pytest.mark.parametrize('key', ['5', '\u0663' * 12, 'x', '000000000005'])
async def test_odd_keys_of_a_stranger_cost_only_themselves(deployment, key):
    anna = await deployment.add('anna')
    window = deployment.window
    await write_row(anna, COUNTS_TABLE, key, '{}', list_parts()[0])
    anna.send(number=2)
    await deployment.advance_to(window + 4)
    assert deployment.platform.counts[window] == {'acme': 2}
    assert min(deployment.platform.counts) == window


@pytest.mark.parametrize('body', ['{', '{"window":"x"}', '{"window":7}'])
async def test_odd_report_of_a_stranger_stops_no_others(deployment, body):
    """The duty must go on beside a report that can't be read."""
    anna = await deployment.add('anna')
    window = deployment.window
    key = f'{window - 20:012d}'
    await write_row(anna, REPORTS_TABLE, key, body)
    anna.send(number=2)
    await deployment.advance_to(window + 4)
    assert deployment.platform.counts[window] == {'acme': 2}
    assert 7 not in deployment.platform.counts


@pytest.mark.parametrize('body', ['{', '{"next_window":"x"}'])
async def test_odd_progress_repeats_no_window(deployment, body):
    """Windows that were reported must not be reported with other counts."""
    anna = await deployment.add('anna')
    window = deployment.window
    anna.send(number=2)
    await deployment.advance_to(window + 3)
    await write_row(anna, REPORTS_TABLE, PROGRESS_KEY, body)
    await anna.kill()
    bert = await deployment.add('bert')
    await deployment.timers.advance(21)
    later = deployment.window
    bert.send(number=3)
    await deployment.timers.advance(30)
    sent = [one.window for one in deployment.platform.reports]
    assert sent.count(window) == 1
    assert deployment.platform.counts[later] == {'acme': 3}
