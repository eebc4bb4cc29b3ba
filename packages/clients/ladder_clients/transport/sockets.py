"""TCP sockets whose kernel options detect a broken network path."""

import socket

from aiohttp import AddrInfoType

from ladder_clients.exchanges.dead_paths import detect_dead_path

_DEAD_PATH_SECONDS = 5


def make_socket(address: AddrInfoType) -> socket.socket:
    """
    Return a TCP socket that detects a dead path.

    Parameters
    ----------
    address : AddrInfoType
        Entry of `socket.getaddrinfo` from which the family, the type and the
        protocol of the socket are taken.

    Returns
    -------
    socket.socket
        The socket, not connected.

    """
    family, kind, protocol = address[:3]
    opened = socket.socket(family, kind, protocol)
    detect_dead_path(opened, _DEAD_PATH_SECONDS)
    return opened
