"""Stand-in for the table service: transactions over rows in memory."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ladder_clients.table import Transaction
from ladder_standins.json_bodies import make_json_response, read_json
from ladder_standins.records import RecordWriter
from ladder_standins.rows import TableRows

_NOT_FOUND_STATUS = 404


class TableApp:
    """
    Serve rows and transactions over HTTP.

    Parameters
    ----------
    records : RecordWriter
        Receives each change of a row.

    """

    def __init__(self, records: RecordWriter) -> None:
        self._rows = TableRows(records.add)

    async def read(self, request: Request) -> Response:
        """Respond with one row, or with status 404."""
        row = self._rows.find(**request.path_params)
        if row is None:
            return Response(status_code=_NOT_FOUND_STATUS)
        return make_json_response(row)

    async def scan(self, request: Request) -> Response:
        """Respond with the rows whose keys start with a prefix."""
        prefix = request.query_params.get('prefix', '')
        table = request.path_params['table']
        return make_json_response(self._rows.scan(table, prefix))

    async def commit(self, request: Request) -> Response:
        """Apply a transaction once for its token; respond with the outcome."""
        transaction = await read_json(request, Transaction)
        return make_json_response(self._rows.commit(transaction))

    async def read_outcome(self, request: Request) -> Response:
        """Respond with the outcome of a transaction, or with status 404."""
        outcome = self._rows.find_outcome(request.path_params['token'])
        if outcome is None:
            return Response(status_code=_NOT_FOUND_STATUS)
        return make_json_response(outcome)


def make_table(records: RecordWriter) -> Starlette:
    """Return the HTTP application of the table service."""
    table = TableApp(records)
    return Starlette(
        routes=[
            Route('/v1/rows/{table}/{key:path}', table.read),
            Route('/v1/rows/{table}', table.scan),
            Route('/v1/transactions', table.commit, methods=['POST']),
            Route('/v1/transactions/{token:path}', table.read_outcome),
        ],
    )
