from collections.abc import Sequence

import pytest

from ladder_clients.exchanges import (
    ConnectionPool,
    OutgoingRequest,
    Timeouts,
)
from ladder_core.timers import SystemTimerService
from ladder_node.quarantine import (
    EVIDENCE_PATH,
    EvidenceApp,
    EvidenceRow,
    HttpEvidenceSender,
)
from ladder_node.serving import EntryServer
from ladder_standins.fleet.ports import find_free_ports

ROWS = [EvidenceRow('d/crash/r@1', '{}'), EvidenceRow('d/trial/0', None)]
UNREACHABLE_ADDRESS = '127.0.0.1:1'


class Peer:
    def __init__(self):
        self.received: list[Sequence[EvidenceRow]] = []
        self.address = f'127.0.0.1:{find_free_ports(1)[0]}'
        self.server = EntryServer(
            EvidenceApp(self.received.append), self.address, 0
        )


@pytest.fixture
async def peer():
    made = Peer()
    await made.server.start()
    yield made
    await made.server.close()


@pytest.fixture
async def pool():
    made = ConnectionPool(SystemTimerService())
    await made.start()
    yield made
    await made.close()


async def test_rows_reach_the_peers_that_can_be_reached(peer, pool):
    peers = [UNREACHABLE_ADDRESS, peer.address]
    await HttpEvidenceSender(pool, lambda: peers).send(ROWS)
    assert peer.received == [ROWS]


@pytest.mark.parametrize('body', [b'', b'\xc1', b'\x00' * 200_000])
async def test_notice_that_is_not_understood_is_refused(peer, pool, body):
    request = OutgoingRequest(
        b'POST', EVIDENCE_PATH.encode(), ((b'Host', b'peer'),), body
    )
    limits = Timeouts(1, 1, 1)
    async with pool.exchange(peer.address, request, limits) as response:
        assert response.status == 400
    assert not peer.received
