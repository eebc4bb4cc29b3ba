"""
Bind the ids of a request to all log lines written while it is handled.

References
----------
W3C Recommendation "Trace Context", section 3.2, header ``traceparent``.

"""

import re
import uuid
from dataclasses import dataclass

from loguru import logger
from starlette.datastructures import Headers, MutableHeaders
from starlette.types import ASGIApp, Message, Receive, Scope, Send

REQUEST_ID_HEADER = 'x-request-id'

_TRACEPARENT_HEADER = 'traceparent'
_REQUEST_ID_PATTERN = re.compile(r'[\w.-]{1,64}')
_TRACEPARENT_PATTERN = re.compile(
    '[0-9a-f]{2}-([0-9a-f]{32})-[0-9a-f]{16}-[0-9a-f]{2}'
)


@dataclass(frozen=True, slots=True)
class RequestIds:
    """
    Ids of one request.

    Attributes
    ----------
    request_id : str
        Id that the caller sent, or a new one.
    trace_id : str
        Trace id that the caller sent, or a new one; 32 hexadecimal digits.

    """

    request_id: str
    trace_id: str


def read_ids(headers: Headers) -> RequestIds:
    """
    Return the ids in the headers of a request, or new ones.

    Parameters
    ----------
    headers : Headers
        Header fields of the request; malformed ids are replaced.

    Returns
    -------
    RequestIds
        Request id and trace id, both well-formed.

    """
    request_id = headers.get(REQUEST_ID_HEADER, '')
    if not _REQUEST_ID_PATTERN.fullmatch(request_id):
        request_id = uuid.uuid4().hex
    trace = _TRACEPARENT_PATTERN.fullmatch(headers.get(_TRACEPARENT_HEADER, ''))
    trace_id = trace.group(1) if trace else uuid.uuid4().hex
    return RequestIds(request_id, trace_id)


class RequestLogMiddleware:
    """
    Bind request and trace id to log lines; answer with the request id.

    Parameters
    ----------
    app : ASGIApp
        Application that handles the request.

    """

    def __init__(self, app: ASGIApp) -> None:
        self._app = app

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one request."""
        ids = read_ids(Headers(scope=scope))

        async def send_with_id(message: Message) -> None:
            if message['type'] == 'http.response.start':
                headers = MutableHeaders(scope=message)
                headers[REQUEST_ID_HEADER] = ids.request_id
            await send(message)

        with logger.contextualize(
            request_id=ids.request_id,
            trace_id=ids.trace_id,
        ):
            await self._app(scope, receive, send_with_id)
