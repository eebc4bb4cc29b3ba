"""
Rows that record the intent to run a call with an idempotency key.

References
----------
draft-ietf-httpapi-idempotency-key-header, "The Idempotency-Key HTTP Header
Field".

"""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from ladder_clients.services import ServiceRequest, ServiceResponse
from ladder_core.messages import decode_json

INTENT_TABLE = 'intents'
# Rows are sharded by the first hexadecimal characters of their keys.
SHARD_CHARACTERS = 3
SHARD_COUNT = 4096


class IntentState(StrEnum):
    """
    State of a call whose row exists.

    Notes
    -----
    A call is `open` until its outcome is stored, `released` if it certainly did
    not run, and `undecided` if it may have run. It is `answered` with a stored
    response, or `answered_at_length` if the response was too long to store.

    """

    open = 'open'
    released = 'released'
    undecided = 'undecided'
    answered = 'answered'
    answered_at_length = 'answered-at-length'


class Intent(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    The body of an intent row.

    Attributes
    ----------
    fingerprint : str
        Digest of the request; the same key with another digest is refused.
    token : str
        Identifies the attempt that inserted the row.
    created_ms : int
        Wall-clock time of the insertion in milliseconds, used only for
        expiry.
    state : IntentState
        Progress of the call.
    status : int
        HTTP status of the stored response; zero if there is none.
    body : bytes
        Body of the stored response; empty if it was too long.
    content_type : str
        Media type of the stored response, if any.

    """

    fingerprint: str
    token: str
    created_ms: int
    state: IntentState = IntentState.open
    status: int = 0
    body: bytes = b''
    content_type: str = ''


@dataclass(frozen=True, slots=True)
class IntentKey:
    """
    An idempotency key within the scope of a plan and a pool.

    Attributes
    ----------
    plan : str
        Name of the plan that the caller uses.
    pool : str
        Pool of the called service.
    key : str
        The caller's ``Idempotency-Key``.

    """

    plan: str
    pool: str
    key: str

    @property
    def row_key(self) -> str:
        """Key of the row: a hash, which spreads rows evenly over the shards."""
        scope = '\0'.join((self.plan, self.pool, self.key))
        return hashlib.sha256(scope.encode()).hexdigest()


def make_fingerprint(request: ServiceRequest) -> str:
    """
    Return a digest of the contents of a call.

    Parameters
    ----------
    request : ServiceRequest
        The call to identify.

    Returns
    -------
    str
        Hexadecimal digest; equal for equal method, path, media type and body.

    """
    digest = hashlib.sha256()
    for part in (request.method, request.path, request.content_type):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


def decode_intent(body: str) -> Intent:
    """Decode the body of an intent row."""
    return decode_json(body, Intent)


def encode_intent(intent: Intent) -> str:
    """Encode the body of an intent row."""
    return msgspec.json.encode(intent).decode()


def make_answered_intent(
    intent: Intent,
    response: ServiceResponse,
    max_body_bytes: int,
) -> Intent:
    """
    Return a copy of an intent that holds the response of its call.

    Parameters
    ----------
    intent : Intent
        The open intent of the call.
    response : ServiceResponse
        The response of the service.
    max_body_bytes : int
        Largest body that is stored; of a longer response only the status is.

    """
    if len(response.body) > max_body_bytes:
        return msgspec.structs.replace(
            intent,
            state=IntentState.answered_at_length,
            status=response.status,
        )
    return msgspec.structs.replace(
        intent,
        state=IntentState.answered,
        status=response.status,
        body=response.body,
        content_type=response.content_type,
    )
