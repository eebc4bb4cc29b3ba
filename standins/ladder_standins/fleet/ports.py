"""Free ports of loopback."""

import itertools
import os
import socket

# Below the range from which Linux takes ports of outgoing connections: such a
# connection could take a port between its choice here and its use by a server.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORTS_PER_PROCESS = 64

_turn = itertools.count()


def find_free_ports(count: int) -> list[int]:
    """
    Find free TCP ports that no outgoing connection takes.

    Parameters
    ----------
    count : int
        Number of ports.

    Returns
    -------
    list of int
        Distinct ports that nothing listened on. Processes with neighbouring
        ids begin their search at different ports.

    """
    ports: list[int] = []
    while len(ports) < count:
        port = _find_next()
        if _is_free(port):
            ports.append(port)
    return ports


def reserve_port() -> socket.socket:
    """
    Keep a free TCP port from being chosen by others.

    Returns
    -------
    socket
        Bound and not listening: a server may bind the port beside it, as
        servers set SO_REUSEADDR, while `find_free_ports` passes it over.
        The caller closes it.

    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(('127.0.0.1', find_free_ports(1)[0]))
    return reservation


def _find_next() -> int:
    offset = os.getpid() * _PORTS_PER_PROCESS + next(_turn)
    return _FIRST_PORT + offset % (_LAST_PORT - _FIRST_PORT)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
        return True
