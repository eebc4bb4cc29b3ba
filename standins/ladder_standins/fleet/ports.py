"""Free TCP ports of the loopback interface."""

import itertools
import os
import socket
from collections import deque

# These ports are below the range that Linux uses for outgoing connections. An
# outgoing connection could otherwise take a port after it was chosen here and
# before its server listens on it.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORTS_PER_PROCESS = 64
_LOOPBACK = '127.0.0.1'
# More ports than the servers of one test use.
_MAX_RESERVATIONS = 256

# Counts the ports that this process has examined.
_turn = itertools.count()
# Keeps ports from other processes until their servers listen on them.
_reservations: deque[socket.socket] = deque()


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
        Distinct ports that were not bound. They stay reserved for servers of
        this process and of its children, which set SO_REUSEADDR, until many
        more ports were found.

    """
    ports: list[int] = []
    for _ in range(count):
        reservation = reserve_port()
        _reservations.append(reservation)
        ports.append(reservation.getsockname()[1])
    while len(_reservations) > max(_MAX_RESERVATIONS, count):
        _reservations.popleft().close()
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
    while True:
        reservation = socket.socket()
        try:
            reservation.bind((_LOOPBACK, _find_next()))
        except OSError:
            reservation.close()
            continue
        # Set after the bind, which otherwise shares the port of another
        # reservation.
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return reservation


def _find_next() -> int:
    offset = os.getpid() * _PORTS_PER_PROCESS + next(_turn)
    return _FIRST_PORT + offset % (_LAST_PORT - _FIRST_PORT)
