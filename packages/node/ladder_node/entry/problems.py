"""
Answer errors with problem details.

References
----------
RFC 9457, "Problem Details for HTTP APIs".

"""

import math

import msgspec
from loguru import logger
from starlette.requests import Request
from starlette.responses import Response

from ladder_core.errors import Execution, LadderError

_MEDIA_TYPE = 'application/problem+json'


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    The body of an error response.

    Attributes
    ----------
    type : str
        URN of the kind of error.
    title : str
        Description of the error.
    status : int
        HTTP status of the response.
    execution : Execution
        Whether the request was, was not or may have been executed.
    remedy : str
        What the caller can do about the error.
    retry_after_seconds : float or None
        Seconds after which the same request may succeed.

    """

    type: str
    title: str
    status: int
    execution: Execution
    remedy: str
    retry_after_seconds: float | None = None


def make_problem(error: LadderError) -> Problem:
    """Return the problem details that describe an error."""
    return Problem(
        type=f'urn:kumquatladder:{error.kind}',
        title=error.message,
        status=error.status,
        execution=error.execution,
        remedy=error.remedy,
        retry_after_seconds=error.retry_after,
    )


async def handle_error(request: Request, error: Exception) -> Response:
    """Answer a request with the problem details of its error."""
    if not isinstance(error, LadderError):
        logger.opt(exception=error).error(
            'unexpected exception while handling {}',
            request.url.path,
        )
        error = LadderError(
            'the node failed on the request',
            remedy='report it with the time line of the node',
        )
    problem = make_problem(error)
    headers = {}
    if error.retry_after is not None:
        headers['retry-after'] = str(math.ceil(error.retry_after))
    return Response(
        msgspec.json.encode(problem),
        error.status,
        headers,
        _MEDIA_TYPE,
    )
