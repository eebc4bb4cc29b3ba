"""Errors of the table service."""

from ladder_core.errors import MayHaveRunError


class StoreOutcomeUnknownError(MayHaveRunError):
    """A transaction was sent and its answer was lost."""

    kind = 'store-outcome-unknown'
    status = 503
