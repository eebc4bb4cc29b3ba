"""Errors of targets that did not run a request."""

from ladder_core.errors.refusals import NotRunError


class TargetUnavailableError(NotRunError):
    """No target can take the request now."""

    kind = 'target-unavailable'


class TargetFullError(TargetUnavailableError):
    """The target has no place for the request now."""

    kind = 'target-full'


class TargetChangedError(TargetUnavailableError):
    """Another process answers at the target's address."""

    kind = 'target-changed'
