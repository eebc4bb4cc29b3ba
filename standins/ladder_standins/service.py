"""Stand-in for a service that is not a model and is not idempotent."""

import asyncio

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ladder_standins.json_bodies import make_json_response
from ladder_standins.records import RecordWriter


class ExecutedCall(msgspec.Struct, frozen=True):
    """Response to a call: the request and the number of calls so far."""

    replica: str
    request_id: str
    method: str
    path: str
    body: str
    count: int


class ServiceApp:
    """
    Count each call and return its contents.

    Parameters
    ----------
    name : str
        Name of the replica, which its responses contain.
    records : RecordWriter
        Receives each execution.

    """

    def __init__(self, name: str, records: RecordWriter) -> None:
        self._name = name
        self._records = records
        self._count = 0

    async def execute(self, request: Request) -> Response:
        """Execute a call; ``?seconds=`` sets how long it takes."""
        body = (await request.body()).decode(errors='replace')
        request_id = request.headers.get('x-request-id', '')
        self._count += 1
        count = self._count
        self._records.add('executed', request_id, body=body)
        await asyncio.sleep(float(request.query_params.get('seconds', 0)))
        response = make_json_response(
            ExecutedCall(
                replica=self._name,
                request_id=request_id,
                method=request.method,
                path=request.url.path,
                body=body,
                count=count,
            ),
        )
        response.headers['x-request-id'] = request_id
        return response


def make_service(name: str, records: RecordWriter) -> Starlette:
    """Return the HTTP application of the service."""
    app = ServiceApp(name, records)
    methods = ['GET', 'POST', 'PUT', 'DELETE', 'PATCH']
    route = Route('/{path:path}', app.execute, methods=methods)
    return Starlette(routes=[route])
