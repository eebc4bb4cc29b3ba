import pytest

from ladder_clients.replicas import CallerRequest
from ladder_node.quarantine import identify_request

HEADERS = ((b'Host', b'pub.example'), (b'user-agent', b'sdk/1'))


def make(**changes):
    fields = {
        'request_id': '1',
        'method': b'POST',
        'target': b'/a',
        'headers': HEADERS,
        'body': b'body',
        'caller': '10.0.0.1',
    }
    return CallerRequest(**{**fields, **changes})


@pytest.mark.parametrize(
    'changes',
    [
        {'request_id': '2'},
        {'caller': '10.0.0.2'},
        {'headers': ((b'host', b'pub.example'), (b'last-event-id', b'7'))},
    ],
)
def test_attempts_of_a_request_have_one_digest(changes):
    assert identify_request(make()) == identify_request(make(**changes))


@pytest.mark.parametrize(
    'changes',
    [
        {'body': b'other'},
        {'target': b'/ab', 'body': b'ody'},
        {'target': b'/b'},
        {'method': b'PUT'},
        {'headers': ((b'host', b'other.example'),)},
        {'headers': (*HEADERS, (b'authorization', b'key'))},
    ],
)
def test_other_requests_have_other_digests(changes):
    assert identify_request(make()) != identify_request(make(**changes))


def test_requests_without_a_body_are_told_apart_by_caller():
    first, second = make(body=b''), make(body=b'', caller='10.0.0.2')
    assert identify_request(first) != identify_request(second)
    assert identify_request(first) == identify_request(make(body=b''))
