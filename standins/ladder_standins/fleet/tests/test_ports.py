import socket

import pytest

from ladder_standins.fleet.ports import find_free_ports, reserve_port
from ladder_standins.fleet.processes import ProcessGroup

# Lowest port that Linux uses for outgoing connections by default.
LOWEST_EPHEMERAL_PORT = 32_768


def test_ports_are_none_that_outgoing_connections_take():
    # Regression: a run of bench failed because an outgoing connection took the
    # port of a stand-in after it was chosen and before the stand-in listened.
    ports = find_free_ports(40)
    assert len(set(ports)) == 40
    assert max(ports) < LOWEST_EPHEMERAL_PORT


def test_port_in_use_is_passed_over(monkeypatch):
    monkeypatch.setattr('os.getpid', lambda: 7)
    port = find_free_ports(1)[0]
    with socket.create_server(('127.0.0.1', port)) as taken:
        used = taken.getsockname()[1]
        monkeypatch.setattr(
            'ladder_standins.fleet.ports._turn',
            iter(range(used - 10_000 - 7 * 64, 30_000)),
        )
        assert find_free_ports(1)[0] > used


def test_reserved_port_is_left_to_its_server(monkeypatch):
    # Regression: two fleets that started at the same time chose the same port.
    with reserve_port() as reservation:
        port = reservation.getsockname()[1]
        monkeypatch.setattr('os.getpid', lambda: 7)
        monkeypatch.setattr(
            'ladder_standins.fleet.ports._turn',
            iter(range(port - 10_000 - 7 * 64, 60_000)),
        )
        assert find_free_ports(1)[0] != port
        with socket.create_server(('127.0.0.1', port)) as server:
            assert server.getsockname()[1] == port


def test_port_that_was_found_is_left_to_its_server():
    # Regression: two processes that ran tests in parallel found the same port
    # before the server of either listened on it.
    port = find_free_ports(1)[0]
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(('127.0.0.1', port))
    with socket.create_server(('127.0.0.1', port)) as server:
        assert server.getsockname()[1] == port


def test_processes_that_search_the_same_ports_find_different_ones(monkeypatch):
    monkeypatch.setattr('os.getpid', lambda: 7)
    found = []
    for _ in range(2):
        monkeypatch.setattr(
            'ladder_standins.fleet.ports._turn', iter(range(100))
        )
        found += find_free_ports(10)
    assert len(set(found)) == 20


async def test_process_that_ended_is_not_waited_for(tmp_path):
    group = ProcessGroup(tmp_path)
    group.reserve_address('broken')
    await group.spawn('broken', 'ladder-standin', 'nothing')
    with pytest.raises(RuntimeError, match=r'broken ended with status 2'):
        await group.wait_until_listening('broken')
    group.release_addresses()
