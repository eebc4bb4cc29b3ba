"""Errors of targets that did not execute a request."""

from ladder_core.errors.refusals import NotRunError


class TargetUnavailableError(NotRunError):
    """No target can accept the request at present."""

    kind = 'target-unavailable'


class TargetLeavingError(TargetUnavailableError):
    """The target is leaving, so nothing was sent to it."""

    kind = 'target-leaving'


class TargetFullError(TargetUnavailableError):
    """The target has no free slot for the request at present."""

    kind = 'target-full'


class TargetLimitedError(TargetUnavailableError):
    """The target limits the rate of requests; none is permitted at present."""

    kind = 'target-limited'


class StreamOriginUnknownError(TargetUnavailableError):
    """No node knows which software began a stream, so none goes on with it."""

    kind = 'stream-origin-unknown'


class TargetChangedError(TargetUnavailableError):
    """A different process answers at the address of the target."""

    kind = 'target-changed'
