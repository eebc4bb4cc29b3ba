"""Errors of the state of this node."""

from ladder_core.errors.refusals import NotRunError


class NodeLeavingError(NotRunError):
    """The node stops before the request would have ended."""

    kind = 'node-leaving'
