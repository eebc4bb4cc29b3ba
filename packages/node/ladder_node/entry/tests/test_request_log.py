import pytest
from loguru import logger
from starlette.datastructures import Headers

from ladder_node.entry.request_log import RequestLogMiddleware, read_ids

TRACE_ID = '4bf92f3577b34da6a3ce929d0e0e4736'
TRACE = f'00-{TRACE_ID}-00f067aa0ba902b7-01'


async def respond(scope, receive, send):
    logger.info('handled')
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})


async def test_logs_and_response_of_a_request_carry_its_ids():
    lines = []
    sent = []
    sink = logger.add(lambda line: lines.append(line.record['extra']))

    async def send(message):
        sent.append(message)

    async def receive():
        return {'type': 'http.disconnect'}

    headers = [(b'x-request-id', b'ask-7'), (b'traceparent', TRACE.encode())]
    try:
        await RequestLogMiddleware(respond)(
            {'headers': headers},
            receive,
            send,
        )
    finally:
        logger.remove(sink)
    assert lines[0]['request_id'] == 'ask-7'
    assert lines[0]['trace_id'] == TRACE_ID
    assert sent[0]['headers'] == [(b'x-request-id', b'ask-7')]


@pytest.mark.parametrize('given', ['', 'a b', 'x' * 65, 'a\nb'])
def test_malformed_ids_are_replaced(given):
    ids = read_ids(Headers({'x-request-id': given, 'traceparent': given}))
    assert ids.request_id != given
    assert len(ids.trace_id) == 32
