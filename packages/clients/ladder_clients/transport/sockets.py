"""TCP sockets whose kernel options detect a broken network path."""

import socket

from aiohttp import AddrInfoType

_KEEP_ALIVE_IDLE_SECONDS = 2
_KEEP_ALIVE_INTERVAL_SECONDS = 1
_MAX_KEEP_ALIVE_PROBES = 3
_USER_TIMEOUT_MILLISECONDS = 5000


def make_socket(address: AddrInfoType) -> socket.socket:
    """
    Return a TCP socket with keep-alive probes.

    Parameters
    ----------
    address : AddrInfoType
        Entry of `socket.getaddrinfo` from which the family, the type and the
        protocol of the socket are taken.

    Returns
    -------
    socket.socket
        The socket, not connected. If the network path drops the state of the
        connection, the kernel closes it within seconds, however long the
        response may take.

    """
    family, kind, protocol = address[:3]
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, _MAX_KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MILLISECONDS),
    ):
        opened.setsockopt(socket.IPPROTO_TCP, option, setting)
    return opened
