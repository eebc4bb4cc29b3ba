"""Sockets on which the kernel notices a dead path."""

import socket

from aiohttp import AddrInfoType

_IDLE_SECONDS = 2
_INTERVAL_SECONDS = 1
_PROBES = 3
_UNACKNOWLEDGED_MILLISECONDS = 5000


def make_socket(address: AddrInfoType) -> socket.socket:
    """
    Return a TCP socket with keep-alive probes.

    Parameters
    ----------
    address : AddrInfoType
        Entry of `socket.getaddrinfo`.

    Returns
    -------
    socket.socket
        The socket, not connected. A path that lost track of its connection
        breaks it within seconds, however long the answer may take.

    """
    family, kind, protocol = address[:3]
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, _IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, _INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, _PROBES),
        (socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MILLISECONDS),
    ):
        made.setsockopt(socket.IPPROTO_TCP, option, setting)
    return made
