import pytest

from ladder_clients.table import (
    StoreOutcomeUnknownError,
    Transaction,
    Write,
)
from ladder_clients.table.http import HttpTableClient
from ladder_clients.transport import HttpClient
from ladder_core.errors import StoreUnavailableError
from ladder_standins.scripted import ScriptedTarget

INSERT = Transaction('token', (), (Write('t', 'k', 'body'),))


@pytest.fixture
async def http():
    http_client = HttpClient()
    await http_client.start()
    yield http_client
    await http_client.close()


async def commit(http, status):
    applied = []

    async def apply_and_answer(request, writer):
        applied.append(request.body)
        writer.write(
            f'HTTP/1.1 {status} Status\r\ncontent-length: 0\r\n\r\n'.encode(),
        )
        await writer.drain()

    service = ScriptedTarget(apply_and_answer)
    await service.start()
    try:
        await HttpTableClient(http, service.address).commit(INSERT)
    finally:
        await service.close()
        assert applied


@pytest.mark.parametrize('status', (500, 502, 504))
async def test_effect_behind_a_server_error_is_no_refusal(http, status):
    with pytest.raises(StoreOutcomeUnknownError):
        await commit(http, status)


@pytest.mark.parametrize('status', (429, 503))
async def test_status_that_guarantees_no_effect_is_a_refusal(http, status):
    with pytest.raises(StoreUnavailableError):
        await commit(http, status)
