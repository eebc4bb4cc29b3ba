"""Free ports of loopback."""

import socket


def find_free_ports(count: int) -> list[int]:
    """
    Ask the system for free TCP ports.

    Parameters
    ----------
    count : int
        Number of ports.

    Returns
    -------
    list of int
        Distinct ports that nothing listened on.

    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for opened in sockets:
            opened.bind(('127.0.0.1', 0))
        return [bound.getsockname()[1] for bound in sockets]
    finally:
        for opened in sockets:
            opened.close()
