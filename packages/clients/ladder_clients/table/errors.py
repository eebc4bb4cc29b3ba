"""Errors of the table service."""

from ladder_core.errors import MayHaveRunError, NotRunError


class StoreOutcomeUnknownError(MayHaveRunError):
    """A transaction was sent, but its response was lost."""

    kind = 'store-outcome-unknown'
    status = 503


class HistoryLostError(NotRunError):
    """The table service no longer has the requested changes."""

    kind = 'history-lost'
