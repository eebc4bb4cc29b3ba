"""Client of the table service over HTTP."""

from typing import TypeVar
from urllib.parse import quote

import msgspec

from ladder_clients.table.base import TableClient
from ladder_clients.table.errors import StoreOutcomeUnknownError
from ladder_clients.table.wire import Outcome, Row, Transaction
from ladder_clients.transport import (
    HttpClient,
    HttpResponse,
    Timeouts,
    TransportError,
    UnreachableError,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.messages import decode_json

Message = TypeVar('Message')

_OK_STATUS = 200
_NOT_FOUND_STATUS = 404
# Statuses by which the service states that it has not executed the call.
_NOT_EXECUTED_STATUSES = frozenset((429, 503))
_CALL_TIMEOUT_SECONDS = 2
_RETRY_AFTER_SECONDS = 1


class HttpTableClient(TableClient):
    """
    Client of the table service at one address.

    Parameters
    ----------
    http : HttpClient
        Transport; its owner starts and closes it.
    address : str
        ``ip:port`` of the service.
    call_timeout_seconds : float, optional
        Time-out of one call, in seconds.

    """

    def __init__(
        self,
        http: HttpClient,
        address: str,
        call_timeout_seconds: float = _CALL_TIMEOUT_SECONDS,
    ) -> None:
        self._http = http
        self._base = f'http://{address}/v1'
        self._timeouts = Timeouts(
            total_seconds=call_timeout_seconds,
            connect_seconds=call_timeout_seconds,
        )

    async def read(self, table: str, key: str) -> Row | None:
        """Return one row, or None if it is absent."""
        path = f'/rows/{quote(table)}/{quote(key, safe="")}'
        response = await self._get(path)
        if response.status == _NOT_FOUND_STATUS:
            return None
        return self._decode(response, Row)

    async def scan(self, table: str, prefix: str = '') -> list[Row]:
        """Return the rows whose keys start with a prefix, sorted by key."""
        path = f'/rows/{quote(table)}?prefix={quote(prefix, safe="")}'
        return self._decode(await self._get(path), list[Row])

    async def commit(self, transaction: Transaction) -> Outcome:
        """Apply a transaction; make a single attempt."""
        try:
            response = await self._http.fetch(
                'POST',
                f'{self._base}/transactions',
                body=msgspec.json.encode(transaction),
                timeouts=self._timeouts,
            )
        except UnreachableError as error:
            raise _make_unavailable_error(error) from error
        except TransportError as error:
            raise StoreOutcomeUnknownError(
                f'the answer of transaction {transaction.token} was lost',
                remedy='read its outcome back by its token',
                retry_after=_RETRY_AFTER_SECONDS,
            ) from error
        if (
            response.status not in _NOT_EXECUTED_STATUSES
            and response.status != _OK_STATUS
        ):
            raise StoreOutcomeUnknownError(
                f'transaction {transaction.token} was answered'
                f' with status {response.status}',
                remedy='read its outcome back by its token',
                retry_after=_RETRY_AFTER_SECONDS,
            )
        return self._decode(response, Outcome)

    async def read_outcome(self, token: str) -> Outcome | None:
        """Return the outcome of a transaction, or None if it is unknown."""
        response = await self._get(f'/transactions/{quote(token, safe="")}')
        if response.status == _NOT_FOUND_STATUS:
            return None
        return self._decode(response, Outcome)

    async def _get(self, path: str) -> HttpResponse:
        try:
            return await self._http.fetch(
                'GET',
                self._base + path,
                timeouts=self._timeouts,
            )
        except TransportError as error:
            raise _make_unavailable_error(error) from error

    def _decode(self, response: HttpResponse, kind: type[Message]) -> Message:
        if response.status != _OK_STATUS:
            raise StoreUnavailableError(
                f'the table service answered with status {response.status}',
                remedy='wait until it has recovered',
                retry_after=_RETRY_AFTER_SECONDS,
            )
        return decode_json(response.body, kind)


def _make_unavailable_error(error: TransportError) -> StoreUnavailableError:
    return StoreUnavailableError(
        f'the table service does not answer: {error.message}',
        remedy='wait until it has recovered',
        retry_after=_RETRY_AFTER_SECONDS,
    )
