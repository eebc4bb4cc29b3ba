"""
Errors raised before any byte of a request is sent to a target.

Each of these errors guarantees that no target executed the request, so the
caller can safely send it again.
"""

from ladder_core.errors.base import Execution, LadderError


class NotRunError(LadderError):
    """The request was refused and was not sent to any target."""

    kind = 'not-run'
    status = 503
    execution = Execution.not_run


class BadRequestError(NotRunError):
    """The request is malformed."""

    kind = 'bad-request'
    status = 400


class UnauthorizedError(NotRunError):
    """The request has no secret, or its secret belongs to no plan."""

    kind = 'unauthorized'
    status = 401


class ForbiddenError(NotRunError):
    """The plan of the caller, or its allowance, does not permit the request."""

    kind = 'forbidden'
    status = 403


class UnknownNameError(NotRunError):
    """The request names an unknown plan, trainer, step, model or service."""

    kind = 'unknown-name'
    status = 404


class ConflictError(NotRunError):
    """The request contradicts an earlier request that was accepted."""

    kind = 'conflict'
    status = 409


class KeyReusedError(NotRunError):
    """The idempotency key was used before with a different request."""

    kind = 'key-reused'
    status = 422


class TooLargeError(NotRunError):
    """The body of the request exceeds the size limit."""

    kind = 'too-large'
    status = 413


class OverloadedError(NotRunError):
    """A rate limit is exceeded or a bounded queue is full."""

    kind = 'overloaded'
    status = 429


class StoreUnavailableError(NotRunError):
    """The request needs the table service, which does not answer."""

    kind = 'store-unavailable'


class QuarantinedRequestError(NotRunError):
    """The request has crashed replicas and is not run at present."""

    kind = 'quarantined'


class NotReadyError(NotRunError):
    """The configuration of the node is missing or too old to be used."""

    kind = 'not-ready'
