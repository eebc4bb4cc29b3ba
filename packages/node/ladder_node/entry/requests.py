"""Read, validate and authenticate requests."""

import hashlib
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from starlette.requests import Request

from ladder_core.errors import (
    BadRequestError,
    ForbiddenError,
    TooLargeError,
    UnauthorizedError,
)
from ladder_core.values import Allowance, Lists, Plan

_BEARER_PREFIX = 'bearer '
_IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
_MAX_KEY_CHARACTERS = 255
_TIMEOUT_HEADER = 'x-timeout-seconds'
_MAX_TIMEOUT_SECONDS = 3600

Model = TypeVar('Model', bound=BaseModel)


class RequestBody(BaseModel):
    """Base of request bodies; unknown fields are rejected."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)


async def read_body(request: Request, limit: int) -> bytes:
    """
    Read the whole body of a request, up to a limit.

    Parameters
    ----------
    request : Request
        Request whose body has not been read.
    limit : int
        Largest accepted body in bytes.

    Returns
    -------
    bytes
        Complete body.

    Raises
    ------
    TooLargeError
        The body exceeds the limit.

    """
    parts = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > limit:
            raise TooLargeError(
                f'the body is over {limit} bytes',
                remedy='split the request',
            )
        parts.append(part)
    return b''.join(parts)


def parse_body(body: bytes, kind: type[Model]) -> Model:
    """
    Parse and validate a JSON body.

    Parameters
    ----------
    body : bytes
        JSON text as received.
    kind : type
        Pydantic model that validates the body.

    Returns
    -------
    Model
        Validated body.

    Raises
    ------
    BadRequestError
        The body is not JSON or does not match the model.

    """
    try:
        return kind.model_validate_json(body)
    except ValidationError as error:
        faults = '; '.join(
            f'{".".join(str(part) for part in fault["loc"])}: {fault["msg"]}'
            for fault in error.errors()
        )
        raise BadRequestError(
            f'the body is invalid: {faults}',
            remedy='correct the fields named',
        ) from error


def authenticate(request: Request, lists: Lists) -> Plan:
    """
    Find the plan whose secret a request carries.

    Parameters
    ----------
    request : Request
        Request with an ``Authorization: Bearer`` header.
    lists : Lists
        Lists in force; they contain a hash of each plan's secret.

    Returns
    -------
    Plan
        Plan to which the secret belongs.

    Raises
    ------
    UnauthorizedError
        The secret is missing or unknown.

    """
    header = request.headers.get('authorization', '')
    if not header.lower().startswith(_BEARER_PREFIX):
        raise UnauthorizedError(
            'the request carries no secret',
            remedy='send the header Authorization: Bearer <secret>',
        )
    secret = header[len(_BEARER_PREFIX) :].strip()
    digest = hashlib.sha256(secret.encode()).hexdigest()
    plan = lists.find_plan(digest)
    if plan is None:
        raise UnauthorizedError(
            'the secret belongs to no plan',
            remedy="check the secret against the plan's hash",
        )
    return plan


def read_idempotency_key(request: Request) -> str | None:
    """
    Return the idempotency key of a request, or None if it carries none.

    Parameters
    ----------
    request : Request
        Request whose ``Idempotency-Key`` may be quoted.

    Returns
    -------
    str or None
        Key without quotes.

    Raises
    ------
    BadRequestError
        The key is empty, too long or sent twice.

    """
    keys = request.headers.getlist(_IDEMPOTENCY_KEY_HEADER)
    if not keys:
        return None
    key = keys[0].strip()
    if len(key) > 1 and key.startswith('"') and key.endswith('"'):
        key = key[1:-1]
    if len(keys) > 1 or not 0 < len(key) <= _MAX_KEY_CHARACTERS:
        raise BadRequestError(
            'the idempotency key is invalid',
            remedy='send one Idempotency-Key of '
            f'1 to {_MAX_KEY_CHARACTERS} characters',
        )
    return key


def read_timeout(request: Request, default: float) -> float:
    """
    Return the caller's time-out in seconds.

    Parameters
    ----------
    request : Request
        Request with an optional ``X-Timeout-Seconds`` header.
    default : float
        Seconds to return if the request has no such header.

    Raises
    ------
    BadRequestError
        The header is not a number above zero and up to the maximum.

    """
    header = request.headers.get(_TIMEOUT_HEADER)
    if header is None:
        return default
    try:
        seconds = float(header)
    except ValueError:
        seconds = 0
    if not 0 < seconds <= _MAX_TIMEOUT_SECONDS:
        raise BadRequestError(
            'the time limit is invalid',
            remedy='send X-Timeout-Seconds above 0 and '
            f'at most {_MAX_TIMEOUT_SECONDS}',
        )
    return seconds


def check_model(allowance: Allowance, model: str) -> None:
    """
    Check that a plan may use a model.

    Raises
    ------
    ForbiddenError
        The allowance does not name the model.

    """
    if model not in allowance.models:
        raise ForbiddenError(
            f'plan {allowance.plan} may not use model {model}',
            remedy="use one of the plan's models or extend its allowance",
        )


def check_pool(allowance: Allowance, pool: str) -> None:
    """
    Check that a plan may use a pool.

    Raises
    ------
    ForbiddenError
        The allowance does not name the pool.

    """
    if pool not in allowance.pools:
        raise ForbiddenError(
            f'plan {allowance.plan} may not use pool {pool}',
            remedy="use one of the plan's pools or extend its allowance",
        )
