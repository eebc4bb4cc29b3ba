"""Addresses of processes."""

import re

_MAX_PORT = 65_535
_HOST = re.compile(r'[0-9A-Za-z.:\[\]_-]{1,255}', re.ASCII)


def split_address(address: str) -> tuple[str, int]:
    """
    Return the host and the port of an address.

    Raises
    ------
    ValueError
        No connection can be made to the address.

    Examples
    --------
    >>> split_address('10.1.0.38:8149')
    ('10.1.0.38', 8149)
    >>> split_address('10.1.0.38:99999')
    Traceback (most recent call last):
        ...
    ValueError: no port from 1 to 65535: '10.1.0.38:99999'

    """
    host, _, port = address.rpartition(':')
    if not _HOST.fullmatch(host):
        raise ValueError(f'no host: {address!r}')
    if not (port.isascii() and port.isdecimal()):
        raise ValueError(f'no port: {address!r}')
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'no port from 1 to {_MAX_PORT}: {address!r}')
    return host, int(port)
