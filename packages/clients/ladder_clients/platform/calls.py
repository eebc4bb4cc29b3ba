"""Calls to platform services, with all failures as one kind of error."""

from ladder_clients.transport import HttpClient, HttpResponse, TransportError
from ladder_core.errors import StoreUnavailableError

_OK_STATUSES = frozenset((200, 201, 204, 404))
_RETRY_AFTER_SECONDS = 1


async def call_platform(
    http: HttpClient,
    method: str,
    url: str,
    body: bytes = b'',
) -> HttpResponse:
    """
    Make one call to a platform service.

    Parameters
    ----------
    http : HttpClient
        Transport of the call.
    method, url : str
        HTTP method and absolute URL of the request.
    body : bytes, optional
        Body of the request; empty by default.

    Returns
    -------
    HttpResponse
        A response with status 200, 201, 204 or 404.

    Raises
    ------
    StoreUnavailableError
        The service does not answer, or it answers with another status.

    """
    try:
        response = await http.fetch(method, url, body=body)
    except TransportError as error:
        raise StoreUnavailableError(
            f'the platform does not answer: {error.message}',
            remedy='wait until it has recovered',
            retry_after=_RETRY_AFTER_SECONDS,
        ) from error
    if response.status not in _OK_STATUSES:
        raise StoreUnavailableError(
            f'{url} answered with status {response.status}',
            remedy='wait until it has recovered',
            retry_after=_RETRY_AFTER_SECONDS,
        )
    return response
