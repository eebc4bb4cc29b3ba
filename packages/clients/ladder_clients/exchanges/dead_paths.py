"""Kernel options by which connections on dead paths are closed."""

import socket

_KEEP_ALIVE_IDLE_SECONDS = 1
_KEEP_ALIVE_INTERVAL_SECONDS = 1
_MILLISECONDS_PER_SECOND = 1000


def detect_dead_path(opened: socket.socket, seconds: float) -> None:
    """
    Let the kernel close a connection whose path is dead.

    Explanation
    -----------
    ``TCP_USER_TIMEOUT`` limits the time for which sent data may stay
    unacknowledged, and decides when keep-alive probes give up, whatever their
    count. A connection without data in flight needs the probes: otherwise
    nothing ends one that waits for a response. The kernel of the peer answers
    them, however long the response may take.

    Parameters
    ----------
    opened : socket.socket
        The socket, connected or not.
    seconds : float
        Time without an acknowledgement after which the path counts as dead.

    """
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.TCP_USER_TIMEOUT, int(seconds * _MILLISECONDS_PER_SECOND)),
    ):
        opened.setsockopt(socket.IPPROTO_TCP, option, setting)
