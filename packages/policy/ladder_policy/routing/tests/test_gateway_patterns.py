"""
Patterns of large fleets in which each host has few requests for a service.

Guards against a connection of each host to a replica, after each restart of the
hosts and whenever idle ones expire; against gateways that are drawn anew for
all hosts when some of them restart; and against gateways that take more than
their part of the requests.
"""

import heapq
import random
from collections import Counter

import pytest

from ladder_policy.routing import RelayCandidate, choose_gateways

SHORT_IDLE_SECONDS = 0.5
LONG_IDLE_SECONDS = 40
DATA_CENTRES = 6


def make_hosts(count, capacities=(0.5, 2.15)):
    return [
        RelayCandidate(
            f'host-{number}',
            '',
            capacity=capacities[number % len(capacities)],
        )
        for number in range(count)
    ]


def find_senders(hosts):
    """Return the host that sends the requests of each host to replicas."""
    senders = {}
    for host in hosts:
        gateways = choose_gateways(host.name, 'taproom', hosts)
        senders[host.name] = gateways[0].name if gateways else host.name
    return senders


def count_connections(senders, idle_seconds, seconds=50, busy=0.04):
    """Count the connections that one request a second at each host opens."""
    generator = random.Random(1)
    idle_until: dict[str, list[float]] = {}
    opened = 0
    at: float = 0
    busy_until: list[tuple[float, str]] = []
    while at < seconds:
        at += generator.expovariate(len(senders))
        while busy_until and busy_until[0][0] <= at:
            ended_at, name = heapq.heappop(busy_until)
            idle_until.setdefault(name, []).append(ended_at + idle_seconds)
        sender = senders[generator.choice(list(senders))]
        idle = [end for end in idle_until.get(sender, ()) if end > at]
        opened += not idle
        idle_until[sender] = idle[:-1]
        heapq.heappush(busy_until, (at + busy, sender))
    return opened


@pytest.mark.parametrize(
    'idle_seconds', [SHORT_IDLE_SECONDS, LONG_IDLE_SECONDS]
)
@pytest.mark.parametrize('hosts', [90, 195, 1000])
def test_quiet_hosts_open_less_than_a_third_of_the_connections(
    hosts, idle_seconds
):
    candidates = make_hosts(hosts // DATA_CENTRES)
    shared = find_senders(candidates)
    own = {host.name: host.name for host in candidates}
    fewest = count_connections(own, idle_seconds) / 3
    assert count_connections(shared, idle_seconds) < fewest


def test_hosts_of_a_small_data_centre_use_their_own_connections():
    hosts = make_hosts(5)
    assert all(sender == host for host, sender in find_senders(hosts).items())


@pytest.mark.parametrize('hosts', [9, 33, 90, 167, 1000])
def test_each_host_has_a_second_gateway_and_the_load_follows_capacity(hosts):
    candidates = make_hosts(hosts)
    capacities = {host.name: host.capacity for host in candidates}
    senders = find_senders(candidates)
    served = Counter(senders.values())
    for name, sender in senders.items():
        is_gateway = sender == name
        chosen = choose_gateways(name, 'taproom', candidates)
        assert is_gateway or len(chosen) >= 2
    assert len(served) <= max(hosts / 8, 2)
    total = sum(capacities[name] for name in served)
    for name, count in served.items():
        fair = hosts * capacities[name] / total
        assert count < 2 * fair + 8


@pytest.mark.parametrize('count', [33, 34, 40])
def test_a_wave_of_restarts_moves_only_the_hosts_of_one_gateway(count):
    hosts = make_hosts(count)
    before = find_senders(hosts)
    for stopped in hosts:
        after = find_senders([host for host in hosts if host is not stopped])
        gone = set(before.values()) - set(after.values())
        new = set(after.values()) - set(before.values())
        assert len(gone) <= 1
        assert len(new) <= 1
        for name, sender in after.items():
            is_kept = sender == before[name]
            assert is_kept or before[name] in gone or sender in new


def test_a_cut_of_most_hosts_of_a_data_centre_leaves_gateways():
    left = make_hosts(100)[:12]
    senders = find_senders(left)
    assert len(set(senders.values())) == 2


def test_services_have_gateways_of_their_own():
    hosts = make_hosts(33, (1,))
    chosen = {
        service: {
            gateway.name
            for host in hosts
            for gateway in choose_gateways(host.name, service, hosts)
        }
        for service in ('taproom', 'brewmind')
    }
    assert chosen['taproom'] != chosen['brewmind']
