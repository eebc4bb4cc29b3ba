"""Calls to the platform that raise one kind of error."""

from ladder_clients.transport import HttpClient, HttpResponse, TransportError
from ladder_core.errors import StoreUnavailableError

_OK_STATUSES = frozenset((200, 201, 204, 404))
_RETRY_SECONDS = 1


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
        Transport.
    method, url : str
        What to call.
    body : bytes, optional
        Body of the request.

    Returns
    -------
    Answer
        An answer whose status is 200, 201, 204 or 404.

    Raises
    ------
    StoreUnavailableError
        The service does not answer, or answers with another status.

    """
    try:
        answer = await http.fetch(method, url, body=body)
    except TransportError as error:
        raise StoreUnavailableError(
            f'the platform does not answer: {error.message}',
            remedy='wait until it has recovered',
            retry_after=_RETRY_SECONDS,
        ) from error
    if answer.status not in _OK_STATUSES:
        raise StoreUnavailableError(
            f'{url} answered with status {answer.status}',
            remedy='wait until it has recovered',
            retry_after=_RETRY_SECONDS,
        )
    return answer
