"""
Rows that record the intent to execute a call at most once.

References
----------
draft-ietf-httpapi-idempotency-key-header, "The Idempotency-Key HTTP Header
Field".

"""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from ladder_clients.services import PlainAnswer, PlainRequest

INTENT_TABLE = 'intents'
SHARD_CHARACTERS = 3
SHARD_COUNT = 4096


class IntentState(StrEnum):
    """What is known of a call whose row exists."""

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
        Digest of the request; the same key with another one is refused.
    token : str
        Token of the attempt that inserted the row.
    created_ms : int
        Wall clock at the insertion in milliseconds, for expiry only.
    state : IntentState
        What is known of the call.
    status : int
        HTTP status of the stored answer.
    body : bytes
        Body of the stored answer.
    content_type : str
        Media type of the stored answer.

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
    A caller's key within the scope of a plan and a pool.

    Attributes
    ----------
    plan : str
        Name of the plan.
    pool : str
        Pool of the service.
    key : str
        The caller's ``Idempotency-Key``.

    """

    plan: str
    pool: str
    key: str

    @property
    def row_key(self) -> str:
        """The key of the row, its first characters even over the shards."""
        scope = '\0'.join((self.plan, self.pool, self.key))
        return hashlib.sha256(scope.encode()).hexdigest()


def make_fingerprint(request: PlainRequest) -> str:
    """
    Return a digest of what a call asks for.

    Parameters
    ----------
    request : PlainRequest
        The call.

    Returns
    -------
    str
        Equal for equal method, path, media type and body.

    """
    digest = hashlib.sha256()
    for part in (request.method, request.path, request.content_type):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


def decode_intent(body: str) -> Intent:
    """Return the intent in the body of a row."""
    return msgspec.json.decode(body, type=Intent)


def encode_intent(intent: Intent) -> str:
    """Return the body of an intent's row."""
    return msgspec.json.encode(intent).decode()


def make_answered_intent(
    intent: Intent,
    answer: PlainAnswer,
    max_body_bytes: int,
) -> Intent:
    """
    Return the intent with the answer of its call.

    Parameters
    ----------
    intent : Intent
        The open intent.
    answer : PlainAnswer
        What the service answered.
    max_body_bytes : int
        Largest stored body; of a longer answer only the fact is stored.

    """
    if len(answer.body) > max_body_bytes:
        return msgspec.structs.replace(
            intent,
            state=IntentState.answered_at_length,
            status=answer.status,
        )
    return msgspec.structs.replace(
        intent,
        state=IntentState.answered,
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
    )
