"""
Errors raised before the first byte of a request leaves for a target.

Raising one of these is a promise that no target executed the request.
"""

from ladder_core.errors.base import Execution, LadderError


class NotRunError(LadderError):
    """The request was refused and no target has seen it."""

    kind = 'not-run'
    status = 503
    execution = Execution.not_run


class BadRequestError(NotRunError):
    """The request is malformed."""

    kind = 'bad-request'
    status = 400


class UnauthorizedError(NotRunError):
    """The secret is missing or belongs to no plan."""

    kind = 'unauthorized'
    status = 401


class ForbiddenError(NotRunError):
    """The plan's allowance does not include what was asked."""

    kind = 'forbidden'
    status = 403


class UnknownNameError(NotRunError):
    """A plan, trainer, step, model or service is not known."""

    kind = 'unknown-name'
    status = 404


class ConflictError(NotRunError):
    """The request contradicts something accepted earlier."""

    kind = 'conflict'
    status = 409


class KeyReusedError(NotRunError):
    """An idempotency key was sent with a request that differs."""

    kind = 'key-reused'
    status = 422


class TooLargeError(NotRunError):
    """The request's body is over the limit."""

    kind = 'too-large'
    status = 413


class OverloadedError(NotRunError):
    """A rate limit or a bounded queue is exhausted."""

    kind = 'overloaded'
    status = 429


class StoreUnavailableError(NotRunError):
    """The table service is needed and does not answer."""

    kind = 'store-unavailable'


class NotReadyError(NotRunError):
    """The node has no configuration recent enough to act on."""

    kind = 'not-ready'
