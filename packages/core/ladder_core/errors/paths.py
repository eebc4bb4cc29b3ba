"""Errors of the path between this host and a target."""

from ladder_core.errors.runs import MayHaveRunError


class PathLostError(MayHaveRunError):
    """The path of this host to the target was lost during the request."""

    kind = 'path-lost'
