"""The stand-in of the table service: transactions over rows in memory."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ladder_clients.table import Condition, Outcome, Row, Transaction, Write
from ladder_standins.answers import answer_json, read_json
from ladder_standins.records import Records

_NOT_FOUND = 404


class Table:
    """
    Rows, and the outcomes of the transactions by token.

    Parameters
    ----------
    records : Records
        Takes each change of a row.

    """

    def __init__(self, records: Records) -> None:
        self._records = records
        self._rows: dict[str, dict[str, Row]] = {}
        self._revisions: dict[tuple[str, str], int] = {}
        self._outcomes: dict[str, Outcome] = {}

    async def read(self, request: Request) -> Response:
        """Answer with one row."""
        row = self._find(**request.path_params)
        if row is None:
            return Response(status_code=_NOT_FOUND)
        return answer_json(row)

    async def scan(self, request: Request) -> Response:
        """Answer with the rows whose keys start with a prefix."""
        rows = self._rows.get(request.path_params['table'], {})
        prefix = request.query_params.get('prefix', '')
        keys = sorted(key for key in rows if key.startswith(prefix))
        return answer_json([rows[key] for key in keys])

    async def commit(self, request: Request) -> Response:
        """Apply a transaction once, and answer with its outcome."""
        transaction = await read_json(request, Transaction)
        outcome = self._outcomes.get(transaction.token)
        if outcome is None:
            outcome = self._apply(transaction)
            self._outcomes[transaction.token] = outcome
        return answer_json(outcome)

    async def read_outcome(self, request: Request) -> Response:
        """Answer with the outcome of a transaction."""
        outcome = self._outcomes.get(request.path_params['token'])
        if outcome is None:
            return Response(status_code=_NOT_FOUND)
        return answer_json(outcome)

    def _find(self, table: str, key: str) -> Row | None:
        return self._rows.get(table, {}).get(key)

    def _apply(self, transaction: Transaction) -> Outcome:
        conflicts = [
            self._find(condition.table, condition.key)
            or Row(condition.table, condition.key, '', 0)
            for condition in transaction.conditions
            if not self._holds(condition)
        ]
        if conflicts:
            return Outcome(committed=False, conflicts=tuple(conflicts))
        for write in transaction.writes:
            self._write(write, transaction.token)
        return Outcome(committed=True)

    def _holds(self, condition: Condition) -> bool:
        row = self._find(condition.table, condition.key)
        revision = row.revision if row else 0
        return condition.revision == revision

    def _write(self, write: Write, token: str) -> None:
        position = (write.table, write.key)
        revision = self._revisions.get(position, 0) + 1
        self._revisions[position] = revision
        rows = self._rows.setdefault(write.table, {})
        if write.body is None:
            rows.pop(write.key, None)
        else:
            rows[write.key] = Row(*position, write.body, revision)
        self._records.add(
            'row-written',
            f'{write.table}/{write.key}',
            revision=revision,
            token=token,
            body=write.body,
        )


def make_table(records: Records) -> Starlette:
    """Return the table service."""
    table = Table(records)
    return Starlette(
        routes=[
            Route('/v1/rows/{table}/{key:path}', table.read),
            Route('/v1/rows/{table}', table.scan),
            Route('/v1/transactions', table.commit, methods=['POST']),
            Route('/v1/transactions/{token:path}', table.read_outcome),
        ],
    )
