"""Loads under which a service lacks room, and who waits or is refused."""

import pytest

from ladder_policy.shares import Claim, FairQueue

SECONDS = 0.05
RETRY_SECONDS = 0.05
ROOM = 4


class Service:
    """A service with few places, driven step by step through the queue."""

    def __init__(self):
        self.queue = FairQueue()
        self.now: float = 0
        self.running = []
        self.retrying = []
        self.served = []
        self.refused = []

    def send(self, party, priority=1, patience=1.0):
        claim = Claim(party, priority, self.now + patience)
        refusal = self.queue.add(claim, self.now)
        if refusal is not None:
            self.refused.append((party, refusal))
        elif claim.started_at is not None:
            self.run(claim)
        return claim

    def run(self, claim):
        if len(self.running) >= ROOM:
            # A refused request keeps its place and is sent again.
            self.queue.record_full(self.now)
            self.retrying.append((self.now + RETRY_SECONDS, claim))
            return
        self.running.append((self.now + SECONDS, claim))

    def pass_time(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.01
            done = [run for run in self.running if run[0] <= self.now]
            self.running = [run for run in self.running if run[0] > self.now]
            for _, claim in done:
                self.queue.release(claim, self.now, is_success=True)
                self.served.append((claim.party, self.now))
            again = [run for run in self.retrying if run[0] <= self.now]
            self.retrying = [run for run in self.retrying if run not in again]
            for _, claim in again:
                self.run(claim)
            for claim in self.queue.start_waiting(self.now):
                self.run(claim)

    def count(self, party):
        return sum(name == party for name, _ in self.served)


@pytest.fixture
def service():
    return Service()


def test_calm_load_never_waits(service):
    """Requests must not be held back before a replica lacks room."""
    for _ in range(40):
        assert service.send('a').started_at == service.now
        service.pass_time(0.02)
    assert not service.refused


def test_burst_of_one_organisation_delays_itself_only(service):
    """A large organisation's burst must not make a small one wait."""
    for _ in range(60):
        service.send('large', patience=5)
    for _ in range(10):
        service.send('small', patience=5)
        service.pass_time(0.05)
    service.pass_time(0.1)
    assert service.count('small') >= 9


def test_room_that_one_leaves_idle_goes_to_the_other(service):
    """Shares must not keep places empty for an organisation without load."""
    for _ in range(30):
        service.send('only', patience=9)
    service.pass_time(2)
    assert not service.queue.waiting
    assert service.count('only') >= 25


def test_urgent_requests_go_first(service):
    for _ in range(20):
        service.send('a', priority=2, patience=9)
    urgent = service.send('a', priority=0, patience=9)
    service.pass_time(0.1)
    assert urgent.started_at is not None


def test_request_that_would_be_late_is_refused_at_once(service):
    """It must not wait until its deadline passes."""
    for _ in range(200):
        service.send('a', patience=0.3)
    reasons = {refusal.reason for _, refusal in service.refused}
    assert reasons == {'late'}
    assert service.queue.waiting * SECONDS / ROOM <= 2 * 0.3


def test_refused_requests_return_one_after_the_other(service):
    """A crowd that returns at one moment would be refused again."""
    for _ in range(100):
        service.send('a', patience=0.2)
    retries = [refusal.retry_seconds for _, refusal in service.refused]
    assert len(retries) > 20
    assert len({round(seconds, 3) for seconds in retries[:20]}) == 20


def test_queue_of_an_organisation_is_bounded(service):
    for _ in range(200):
        service.send('a', patience=600)
    assert service.queue.waiting <= 64
    assert service.refused[-1][1].reason == 'crowded'
    assert service.send('b', patience=600) in service.queue._waiting


def test_limit_ends_once_replicas_refuse_no_more(service):
    for _ in range(30):
        service.send('a', patience=9)
    service.pass_time(4)
    assert not service.queue.is_contended(service.now)


def test_share_counts_what_other_nodes_served(service):
    """An organisation must not get more by sending to more nodes."""
    for _ in range(12):
        service.send('spread', patience=9)
    for _ in range(4):
        service.send('local', patience=9)
    service.queue.handicap({'spread': 30})
    service.pass_time(0.2)
    assert service.count('local') == 4


def test_reports_of_peers_shut_nobody_out(service):
    for _ in range(20):
        service.send('spread', patience=9)
        service.send('local', patience=9)
    for _ in range(10):
        service.queue.handicap({'spread': 1000})
        service.pass_time(0.1)
    service.pass_time(2)
    assert service.count('spread') >= 15


def test_reports_of_peers_do_not_add_up(service):
    """Repeated reports must not shut a waiting organisation out."""
    for _ in range(12):
        service.send('local', patience=60)
    waiting = service.send('spread', patience=60)
    for _ in range(50):
        service.queue.handicap({'spread': 1000})
    before = service.count('local')
    while waiting.started_at is None and service.count('local') < 200:
        for _ in range(6):
            service.send('local', patience=60)
        service.pass_time(0.05)
    assert service.count('local') - before < 40
