"""Digests that identify a request over all of its attempts."""

import hashlib
from collections.abc import Iterable

from ladder_clients.exchanges import Header
from ladder_clients.replicas import CallerRequest

_DIGEST_BYTES = 16
_LENGTH_BYTES = 8
# Header fields that select the route or authenticate the caller.
_IDENTIFYING_FIELDS = (b'host', b'authorization')


def identify_request(request: CallerRequest) -> str:
    """
    Return a digest of a request that does not depend on the attempt.

    Explanation
    -----------
    A request that comes again has a new id and may arrive from another address
    of its caller, at any node. Its body identifies it. Requests without a body
    are alike, so those are identified by the caller too.

    Parameters
    ----------
    request : CallerRequest
        The request as the caller sent it.

    Examples
    --------
    >>> first = CallerRequest('1', b'POST', b'/a', (), b'body', '10.0.0.1')
    >>> again = CallerRequest('2', b'POST', b'/a', (), b'body', '10.0.0.2')
    >>> identify_request(first) == identify_request(again)
    True

    """
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (
        request.method,
        request.target,
        *_list_identifying_fields(request.headers),
        b'' if request.body else request.caller.encode(),
        request.body,
    ):
        hasher.update(len(part).to_bytes(_LENGTH_BYTES))
        hasher.update(part)
    return hasher.hexdigest()


def _list_identifying_fields(headers: Iterable[Header]) -> list[bytes]:
    fields = {name.lower(): content for name, content in headers}
    return [fields.get(name, b'') for name in _IDENTIFYING_FIELDS]
