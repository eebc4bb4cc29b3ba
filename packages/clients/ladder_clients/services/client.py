"""Client of services that are not model engines."""

from dataclasses import dataclass

from ladder_clients.transport import (
    HttpClient,
    Timeouts,
    translate_target_errors,
)
from ladder_core.errors import TargetLostError

_REQUEST_ID_HEADER = 'x-request-id'
DEFAULT_TIMEOUT_SECONDS = 10
# Methods that are idempotent by RFC 9110.
_IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE'))


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """
    A call to a service.

    Attributes
    ----------
    request_id : str
        Identifies this attempt; the service echoes it in its response.
    method : str
        HTTP method.
    path : str
        Path and query of the URL.
    body : bytes
        Body of the request; empty for none.
    content_type : str
        Media type of the body.
    timeout_seconds : float
        Time-out of the whole call.

    """

    request_id: str
    method: str
    path: str
    body: bytes = b''
    content_type: str = 'application/json'
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS

    @property
    def is_idempotent(self) -> bool:
        """Whether the call can be retried, as its method is idempotent."""
        return self.method in _IDEMPOTENT_METHODS


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """
    Response of a service, with its whole body.

    Attributes
    ----------
    status : int
        HTTP status code.
    body : bytes
        The whole body.
    content_type : str
        Media type of the body; empty if the service sent none.

    """

    status: int
    body: bytes
    content_type: str


class ServiceClient:
    """
    Client of services that sends each call at most once.

    Parameters
    ----------
    http : HttpClient
        Transport of the calls.

    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def call(
        self, address: str, request: ServiceRequest
    ) -> ServiceResponse:
        """
        Call a service and return its response.

        Parameters
        ----------
        address : str
            ``ip:port`` of the service.
        request : ServiceRequest
            The request to send.

        Returns
        -------
        ServiceResponse
            The response of the service, whatever its status.

        Raises
        ------
        TargetUnavailableError
            The request was not sent.
        TargetLostError
            The connection broke, or the echoed request id is not that of the
            request.
        TargetTimeoutError
            The whole response did not arrive within the time-out.

        """
        remedy = 'ask the service whether the call took effect'
        with translate_target_errors(remedy):
            response = await self._http.fetch(
                request.method,
                f'http://{address}{request.path}',
                body=request.body,
                headers={
                    _REQUEST_ID_HEADER: request.request_id,
                    'content-type': request.content_type,
                },
                timeouts=Timeouts(
                    request.timeout_seconds, request.timeout_seconds
                ),
            )
        if response.headers.get(_REQUEST_ID_HEADER) != request.request_id:
            raise TargetLostError(
                f'{address} answered another request',
                remedy=remedy,
            )
        content_type = response.headers.get('content-type', '')
        return ServiceResponse(response.status, response.body, content_type)
