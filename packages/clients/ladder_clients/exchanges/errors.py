"""Errors of the HTTP transport."""

from ladder_core.errors import Execution, LadderError


class TransportError(LadderError):
    """An exchange failed after the request may have left."""

    kind = 'transport'
    execution = Execution.may_have_run


class UnreachableError(TransportError):
    """No connection could be made, so the request never left."""

    kind = 'unreachable'
    execution = Execution.not_run


class TransportBrokenError(TransportError):
    """The connection broke during the exchange."""

    kind = 'transport-broken'


class SilentConnectionError(TransportError):
    """The other end sent nothing for longer than the gap limit."""

    kind = 'silent-connection'


class AbandonedError(SilentConnectionError):
    """Later exchanges were answered, so this one never will be."""

    kind = 'abandoned'
