"""Organisations that call the service, and their keys."""

import hashlib
import hmac
import re
import secrets
from collections.abc import Iterable
from dataclasses import dataclass

# Both are sent in header fields: visible ASCII characters, so that no value
# can end its field, of a length that the header fields of a request allow.
_NAME = re.compile(r'[\x21-\x7e]{1,200}')
_KEY = re.compile(r'[\x21-\x7e]{1,4096}')
_LOWEST_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class Organisation:
    """
    An organisation that calls the service.

    Attributes
    ----------
    name : str
        Unique name, which replicas get with each request.
    priority : int or None
        Priority of its requests, which takes precedence over that of their
        routes; None for that of the route. Zero is the highest.

    """

    name: str
    priority: int | None = None


class OrganisationDirectory:
    """
    Find organisations by their keys.

    Explanation
    -----------
    Only digests of the keys are kept, made with a secret of the process. The
    time of a look-up does not depend on the number of keys, and says nothing
    about the keys, since a caller can't choose the digest of what it sends.

    Parameters
    ----------
    entries : iterable of (Organisation, iterable of str)
        The organisations, each with its keys.

    Raises
    ------
    ValueError
        Two organisations have one name or one key, or a name, a key or a
        priority is not allowed. The message contains no key.

    Examples
    --------
    >>> choir = Organisation('choir')
    >>> directory = OrganisationDirectory([(choir, ['k1', 'k2'])])
    >>> directory.find(b'k2').name
    'choir'
    >>> directory.find(b'k3') is None
    True

    """

    def __init__(
        self, entries: Iterable[tuple[Organisation, Iterable[str]]]
    ) -> None:
        self._secret = secrets.token_bytes(hashlib.blake2b.MAX_KEY_SIZE)
        self._by_name: dict[str, Organisation] = {}
        self._by_digest: dict[bytes, Organisation] = {}
        for organisation, keys in entries:
            self._add(organisation, keys)

    def find(self, key: bytes) -> Organisation | None:
        """Return the organisation that holds a key, or None."""
        return self._by_digest.get(self._digest(key))

    def find_by_name(self, name: str) -> Organisation | None:
        """Return the organisation of a name, or None."""
        return self._by_name.get(name)

    def list_organisations(self) -> list[Organisation]:
        """Return all organisations."""
        return list(self._by_name.values())

    def _add(self, organisation: Organisation, keys: Iterable[str]) -> None:
        name = organisation.name
        if not _NAME.fullmatch(name):
            raise ValueError(f'{name!r:.80} is no name of an organisation')
        if name in self._by_name:
            raise ValueError(f'two organisations have the name {name}')
        priority = organisation.priority or 0
        if not 0 <= priority <= _LOWEST_PRIORITY:
            raise ValueError(f'the priority of {name} is {priority}')
        self._by_name[name] = organisation
        for number, key in enumerate(keys):
            self._add_key(organisation, key, number)

    def _add_key(
        self, organisation: Organisation, key: str, number: int
    ) -> None:
        if not _KEY.fullmatch(key):
            raise ValueError(
                f'key {number} of {organisation.name} is empty, too long, or'
                ' has characters that a header field does not allow'
            )
        digest = self._digest(key.encode())
        holder = self._by_digest.setdefault(digest, organisation)
        if holder is not organisation:
            raise ValueError(
                f'{holder.name} and {organisation.name} have one key'
            )

    def _digest(self, key: bytes) -> bytes:
        return hmac.digest(self._secret, key, 'blake2b')
