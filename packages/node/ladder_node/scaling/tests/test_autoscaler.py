"""Orders of replicas while holders, calls, replicas and the store fail."""

import asyncio
import itertools

import pytest

from ladder_clients.cloud import CallOutcome
from ladder_clients.table import Transaction
from ladder_core.timers import ManualTimerService
from ladder_core.values import RouteKind, ScalingLimits
from ladder_node.leases.rows import LeaseRow, make_lease_write
from ladder_node.scaling.tests.fakes import (
    CENTRES,
    HANDOVER_SECONDS,
    LIMITS,
    SERVICE,
    ScalingDeployment,
    make_routes,
)
from ladder_node.singleton_duties import DutyLostError
from ladder_standins.memory_table import TableFault

BURST = 120


@pytest.fixture
async def deployment():
    made = ScalingDeployment(ManualTimerService(1000), nodes=('a', 'b'))
    yield made
    await made.close()


async def start(deployment, tasks=BURST, seconds=4.5):
    """Start the first node, and let its first orders out."""
    deployment.demand.tasks = tasks
    await deployment.nodes['a'].start()
    await deployment.advance(seconds)
    return deployment.nodes['a']


def count_calls(deployment, data_centre, is_spot):
    return sum(
        (call.order.data_centre, call.order.is_spot) == (data_centre, is_spot)
        for call in deployment.calls
    )


async def test_a_burst_gets_replicas_in_every_data_centre(deployment):
    node = await start(deployment)
    await deployment.advance(6)
    assert all(deployment.platform.count(name) > 1 for name in CENTRES)
    decided = node.list_events('replicas-decided')[0]
    assert decided.subject == SERVICE
    assert decided.fields['reason'] == 'demand'
    assert decided.fields['tasks'] == str(BURST)
    assert 'north:1+0-0,0+0-0' in decided.fields['replicas']


async def test_an_order_that_holds_is_not_repeated(deployment):
    """Guards against the cost of an order per decision."""
    await start(deployment)
    calls = len(deployment.calls)
    await deployment.advance(40)
    assert calls == len(deployment.calls)


async def test_first_order_waits_for_the_calls_of_an_earlier_holder(deployment):
    """Guards against a late call of an earlier holder after a newer one."""
    node = await start(deployment, seconds=HANDOVER_SECONDS - 0.2)
    assert not deployment.calls
    await deployment.advance(1)
    assert deployment.calls
    assert {call.holder for call in deployment.calls} == {node.name}


async def test_killed_holder_is_followed_with_a_higher_token(deployment):
    """Guards against two holders that order at once."""
    anna = await start(deployment)
    await deployment.nodes['b'].start()
    token = deployment.calls[-1].token
    last_at = deployment.calls[-1].at
    anna.table.default_fault = TableFault.down
    await anna.close()
    calls = len(deployment.calls)
    deployment.demand.tasks = 2 * BURST
    await deployment.advance(12)
    later = deployment.calls[calls:]
    assert later
    assert {(call.holder, call.token) for call in later} == {('b', token + 1)}
    assert later[0].at >= last_at + HANDOVER_SECONDS


async def test_new_holder_keeps_what_the_one_before_has_ordered(deployment):
    """Guards against replicas that each change of the holder removes."""
    anna = await start(deployment)
    await deployment.advance(8)
    count = deployment.platform.count()
    await deployment.nodes['b'].start()
    await anna.close()
    deployment.demand.tasks = 0
    calls = len(deployment.calls)
    await deployment.advance(50)
    assert deployment.platform.count() == count
    assert len(deployment.calls) == calls


async def test_holder_that_was_replaced_between_two_orders_stops(deployment):
    """Guards against orders under a token that is too low."""
    anna = await start(deployment)
    await deployment.advance(8)
    anna.table.default_fault = TableFault.down
    await deployment.nodes['b'].start()
    await deployment.advance(3)
    deployment.demand.tasks = 2 * BURST
    await deployment.advance(12)
    anna.table.default_fault = TableFault.none
    await deployment.advance(5)
    first = next(call for call in deployment.calls if call.holder == 'b')
    assert all(
        call.at < first.at for call in deployment.calls if call.holder == 'a'
    )


async def test_refusal_for_a_later_holder_ends_the_tenure(deployment):
    """Guards against a second call under a token that was refused."""
    anna = await start(deployment)
    await deployment.advance(8)
    token = deployment.calls[-1].token
    deployment.platform.highest_token = token + 1
    # A later holder is in the store, and this node has not noticed yet.
    await anna.leases._periodic_call.close()
    write = make_lease_write('batches', LeaseRow('c', 'c', 'c', token + 1))
    await anna.table.commit(Transaction('t', (), (write,)))
    calls = len(deployment.calls)
    deployment.demand.tasks = 2 * BURST
    await deployment.advance(0.6)
    refused = len(deployment.calls)
    assert refused > calls
    assert [type(end) for end in anna.ends] == [DutyLostError]
    await deployment.advance(10)
    assert all(call.token > token for call in deployment.calls[refused:])


async def test_refusal_without_replicas_pauses_that_pool_only(deployment):
    """Guards against a tenure that ends since a data centre has none."""
    deployment.platform.dry.add(('south', True))
    anna = await start(deployment, seconds=20)
    assert not anna.ends
    assert deployment.platform.count('south', is_spot=True) == 0
    assert deployment.platform.count('north', is_spot=True) > 0
    assert count_calls(deployment, 'south', is_spot=True) <= 3
    assert deployment.platform.count() >= 9


async def test_refusal_while_the_store_is_away_stops_all_orders(deployment):
    """Guards against orders while nobody knows who holds the duty."""
    deployment.platform.add_faults(CallOutcome.refused, count=1)
    anna = deployment.nodes['a']
    anna.is_holder_unread = True
    await start(deployment)
    calls = len(deployment.calls)
    assert calls
    deployment.demand.tasks = 3 * BURST
    await deployment.advance(10)
    assert len(deployment.calls) == calls
    anna.is_holder_unread = False
    await deployment.advance(5)
    assert len(deployment.calls) > calls
    assert not anna.ends


async def test_demand_of_an_outage_is_not_ordered_long_after_it(deployment):
    """Guards against orders that waited for the lease to be valid again."""
    anna = await start(deployment, tasks=40, seconds=15)
    anna.table.default_fault = TableFault.down
    await deployment.advance(2.5)
    deployment.demand.tasks = 3 * BURST
    await deployment.advance(3)
    deployment.demand.tasks = 40
    await deployment.advance(70)
    calls = len(deployment.calls)
    anna.table.default_fault = TableFault.none
    await deployment.advance(10)
    assert len(deployment.calls) == calls


async def test_dry_everywhere_is_bridged_by_regular_replicas(deployment):
    """Guards against a burst that waits for spot replicas."""
    deployment.platform.dry.update((name, True) for name in CENTRES)
    await start(deployment, seconds=30)
    assert deployment.platform.count(is_spot=True) == 0
    assert deployment.platform.count(is_spot=False) >= 7
    spot_calls = sum(call.order.is_spot for call in deployment.calls)
    assert spot_calls <= 3 * 4


async def test_reclaimed_data_centre_gets_no_order_for_some_time(deployment):
    """Guards against orders where no replica is to be had."""
    await start(deployment, seconds=15)
    spot = {
        name: deployment.platform.count(name, is_spot=True) for name in CENTRES
    }
    most = max(spot, key=lambda name: spot[name])
    assert spot[most]
    calls = count_calls(deployment, most, is_spot=True)
    deployment.platform.reclaim(most)
    await deployment.advance(11)
    assert count_calls(deployment, most, is_spot=True) == calls
    await deployment.advance(20)
    remaining = deployment.platform.count() - max(
        deployment.platform.count(name, is_spot=True) for name in CENTRES
    )
    assert remaining >= 7


async def test_lost_answer_that_takes_effect_later_is_not_repeated(deployment):
    """Guards against a second order while the first is on its way."""
    deployment.platform.add_faults(2, count=6)
    await start(deployment, seconds=4)
    calls = len(deployment.calls)
    assert calls
    await deployment.advance(30)
    assert len(deployment.calls) == calls
    assert deployment.platform.count() >= 9


async def test_order_that_never_arrived_is_made_again(deployment):
    """Guards against a burst without replicas after one lost call."""
    deployment.platform.add_faults(1e6, count=6)
    await start(deployment, seconds=4)
    calls = len(deployment.calls)
    await deployment.advance(30)
    assert len(deployment.calls) > calls
    assert deployment.platform.count() >= 9


async def test_late_effect_of_an_older_call_is_corrected(deployment):
    """Guards against a number that an older call has undone."""
    await start(deployment, tasks=40, seconds=3)
    deployment.platform.add_faults(9, count=6)
    await deployment.advance(1)
    deployment.platform.faults.clear()
    deployment.demand.tasks = 2 * BURST
    await deployment.advance(40)
    assert deployment.platform.count() >= 17


async def test_call_without_effect_is_made_again_soon(deployment):
    """Guards against numbers that a rate limit leaves too low."""
    for outcome in (CallOutcome.limited, CallOutcome.unavailable):
        deployment.platform.add_faults(outcome, count=4)
    await start(deployment, seconds=12)
    assert deployment.platform.count() >= 9


async def test_accepted_orders_without_replicas_are_made_ever_less_often(
    deployment,
):
    """Guards against a call each few seconds where nothing ever comes."""
    deployment.platform.add_faults(CallOutcome.done, count=1000)
    await start(deployment, seconds=100)
    calls = [
        call.at
        for call in deployment.calls
        if call.order.data_centre == 'south' and not call.order.is_spot
    ]
    pauses = [later - at for at, later in itertools.pairwise(calls)]
    assert 2 <= len(pauses) <= 6
    assert pauses[-1] > 1.5 * pauses[0]


async def test_store_away_keeps_all_numbers(deployment):
    """Guards against orders of a node whose lease has expired."""
    anna = await start(deployment, seconds=15)
    anna.table.default_fault = TableFault.down
    await deployment.advance(2)
    calls = len(deployment.calls)
    deployment.demand.tasks = 3 * BURST
    await deployment.advance(20)
    assert len(deployment.calls) == calls
    anna.table.default_fault = TableFault.none
    await deployment.advance(12)
    assert len(deployment.calls) > calls


async def test_call_on_its_way_delays_no_other_pool(deployment):
    """Guards against a slow call that holds up the orders for a burst."""
    hold = asyncio.Event()
    deployment.nodes['a'].cloud.hold = hold
    await start(deployment)
    calls = len(deployment.calls)
    deployment.demand.tasks = 3 * BURST
    await deployment.advance(2)
    pools = {
        (call.order.data_centre, call.order.is_spot)
        for call in deployment.calls
    }
    assert len(pools) == len(deployment.calls)
    assert len(pools) >= calls
    hold.set()
    await deployment.advance(10)
    assert deployment.platform.count() >= 20


async def test_unknown_demand_keeps_all_numbers(deployment):
    """Guards against orders by a holder that knows no batches."""
    deployment.demand.is_known = False
    await start(deployment, seconds=100)
    assert not deployment.calls


async def test_unread_list_of_replicas_keeps_all_numbers(deployment):
    """Guards against orders by a node that sees no replicas yet."""
    deployment.nodes['a'].registry._has_read = False
    await start(deployment, seconds=20)
    assert not deployment.calls


async def test_service_without_limits_is_left_alone(deployment):
    """Guards against orders that no configuration has asked for."""
    deployment.nodes['a'].routes.offer(make_routes(None, revision=2))
    await start(deployment, seconds=20)
    assert not deployment.calls


async def test_new_limits_apply_at_once(deployment):
    """Guards against a tenure that keeps the limits of its begin."""
    anna = await start(deployment, tasks=0)
    assert not deployment.calls
    limits = ScalingLimits(3, 9, 4, 0.22, LIMITS.prices)
    anna.routes.offer(make_routes(limits, revision=2))
    await deployment.advance(6)
    assert all(deployment.platform.count(name) == 3 for name in CENTRES)


async def test_service_with_other_routes_gets_no_spot_replicas(deployment):
    """Guards against requests that are lost with their replica."""
    deployment.nodes['a'].routes.offer(
        make_routes(revision=2, kind=RouteKind.non_idempotent)
    )
    await start(deployment, seconds=12)
    assert deployment.platform.count() >= 9
    assert not any(call.order.is_spot for call in deployment.calls)


async def test_excess_is_removed_but_not_below_the_running_tasks(deployment):
    """Guards against replicas that leave with the tasks that they run."""
    for name in CENTRES:
        for _ in range(4):
            deployment.platform.add(name)
    for replica in deployment.platform.list_pool('north'):
        deployment.demand.running[replica.name] = 6
    await start(deployment, tasks=6, seconds=200)
    assert deployment.platform.count('north') == 5
    assert deployment.platform.count('west') < 5
