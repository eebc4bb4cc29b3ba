"""Calls to plain services."""

from dataclasses import dataclass

from ladder_clients.transport import (
    HttpClient,
    Timeouts,
    translate_target_errors,
)
from ladder_core.errors import TargetLostError

_REQUEST_ID = 'x-request-id'
DEFAULT_TIMEOUT_SECONDS = 10
_IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE'))


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """
    A call to a plain service.

    Attributes
    ----------
    request_id : str
        Identifies this dispatch; the service echoes it.
    method : str
        HTTP method.
    path : str
        Path and query at the service.
    body : bytes
        Request body.
    content_type : str
        Media type of the body.
    timeout_seconds : float
        Limit of the call.

    """

    request_id: str
    method: str
    path: str
    body: bytes = b''
    content_type: str = 'application/json'
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS

    @property
    def is_idempotent(self) -> bool:
        """Whether the call may be repeated, by its method (RFC 9110)."""
        return self.method in _IDEMPOTENT_METHODS


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """
    A plain service's whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        The body.
    content_type : str
        Its media type.

    """

    status: int
    body: bytes
    content_type: str


class ServiceClient:
    """
    Calls plain services, each call exactly once.

    Parameters
    ----------
    http : HttpClient
        Transport.

    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def call(
        self, address: str, request: ServiceRequest
    ) -> ServiceResponse:
        """
        Make a call.

        Parameters
        ----------
        address : str
            ``ip:port`` of the service.
        request : ServiceRequest
            What to call.

        Returns
        -------
        ServiceResponse
            The service's own answer, whatever its status.

        Raises
        ------
        TargetUnavailableError
            The request was not sent.
        TargetLostError
            The connection broke, or the answer is another request's.
        TargetTimeoutError
            No whole answer arrived in time.

        """
        remedy = 'ask the service whether the call took effect'
        with translate_target_errors(remedy):
            answer = await self._http.fetch(
                request.method,
                f'http://{address}{request.path}',
                body=request.body,
                headers={
                    _REQUEST_ID: request.request_id,
                    'content-type': request.content_type,
                },
                timeouts=Timeouts(
                    request.timeout_seconds, request.timeout_seconds
                ),
            )
        if answer.headers.get(_REQUEST_ID) != request.request_id:
            raise TargetLostError(
                f'{address} answered another request',
                remedy=remedy,
            )
        content_type = answer.headers.get('content-type', '')
        return ServiceResponse(answer.status, answer.body, content_type)
