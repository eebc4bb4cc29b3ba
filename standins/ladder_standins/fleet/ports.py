"""Free TCP ports of the loopback interface."""

import itertools
import os
import socket

# These ports are below the range that Linux uses for outgoing connections. An
# outgoing connection could otherwise take a port after it was chosen here and
# before its server listens on it.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORTS_PER_PROCESS = 64

# Counts the ports that this process has examined.
_turn = itertools.count()


def find_free_ports(count: int) -> list[int]:
    """
    Find free TCP ports that outgoing connections do not use.

    Parameters
    ----------
    count : int
        Number of ports to find.

    Returns
    -------
    list of int
        Distinct ports that were not bound. Processes with adjacent process
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
    Reserve a free TCP port, so that no other process chooses it.

    Returns
    -------
    socket
        Socket that is bound and does not listen. Servers set SO_REUSEADDR, so
        a server can still bind the port, while `find_free_ports` skips it.
        The caller closes the socket.

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
