"""Errors of the HTTP transport."""

from ladder_core.errors import Execution, LadderError


class TransportError(LadderError):
    """An exchange failed; the request may have been sent."""

    kind = 'transport'
    execution = Execution.may_have_run


class UnreachableError(TransportError):
    """No connection could be made, so the request was not sent."""

    kind = 'unreachable'
    execution = Execution.not_run


class RefusedError(UnreachableError):
    """The host of the peer is up, but no process listens at the address."""


class TransportBrokenError(TransportError):
    """The connection broke during the exchange."""

    kind = 'transport-broken'


class BrokenPathError(TransportBrokenError):
    """The path to the peer was lost during the exchange."""

    kind = 'broken-path'


class ResponseTooLargeError(TransportBrokenError):
    """The response has more bytes than the exchange allows."""

    kind = 'response-too-large'


class SilentConnectionError(TransportError):
    """The peer sent nothing within a time-out."""

    kind = 'silent-connection'


class AbandonedError(SilentConnectionError):
    """A later exchange was answered, so this one is given up as lost."""

    kind = 'abandoned'
