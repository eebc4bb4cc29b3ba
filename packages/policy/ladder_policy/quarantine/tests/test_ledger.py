import pytest

from ladder_policy.quarantine import CrashLedger, RequestState

CLEAR = RequestState.clear
SUSPECT = RequestState.suspect
QUARANTINED = RequestState.quarantined


@pytest.fixture
def ledger():
    return CrashLedger()


def crash(ledger, process, *digests, at=0):
    for digest in digests:
        ledger.add_crash(digest, process, at)


def test_request_without_evidence_is_clear(ledger):
    assert ledger.judge('a', 0).state is CLEAR


def test_second_crash_quarantines(ledger):
    crash(ledger, 'r1', 'a')
    assert ledger.judge('a', 0).state is SUSPECT
    crash(ledger, 'r2', 'a')
    assert ledger.judge('a', 0).state is QUARANTINED


def test_crash_that_is_reported_twice_counts_once(ledger):
    crash(ledger, 'r1', 'a')
    crash(ledger, 'r1', 'a', at=5)
    assert ledger.judge('a', 5).crashes == 1


def test_pauses_before_trials_grow(ledger):
    crash(ledger, 'r0', 'a')
    crash(ledger, 'r1', 'a')
    pauses = []
    now = 0
    for number in range(9):
        verdict = ledger.judge('a', now)
        pauses.append(verdict.retry_at - now)
        now = verdict.retry_at
        ledger.add_trial('a', number, now)
        crash(ledger, f't{number}', 'a', at=now)
    assert pauses[:4] == [1, 5, 25, 125]
    assert pauses[-1] == 86_400


def test_trial_without_an_outcome_delays_the_next_one(ledger):
    crash(ledger, 'r0', 'a')
    crash(ledger, 'r1', 'a')
    ledger.add_trial('a', 0, 1)
    assert ledger.judge('a', 1).retry_at == 6


def test_crashes_at_the_same_time_lengthen_the_pause(ledger):
    for process in ('r1', 'r2', 'r3', 'r4'):
        crash(ledger, process, 'a')
    assert ledger.judge('a', 0).retry_at == 25


def test_response_clears_a_request(ledger):
    crash(ledger, 'r0', 'a')
    crash(ledger, 'r1', 'a')
    ledger.clear('a')
    assert ledger.judge('a', 1).state is CLEAR
    assert 'a' not in ledger


def test_bystander_is_cleared_once_another_request_explains_its_crashes(
    ledger,
):
    crash(ledger, 'r1', 'guilty', 'bystander')
    crash(ledger, 'r2', 'guilty', 'bystander')
    assert ledger.judge('bystander', 0).state is QUARANTINED
    crash(ledger, 'r3', 'guilty')
    assert ledger.judge('bystander', 0).state is CLEAR
    assert ledger.judge('guilty', 0).crashes == 3


def test_equal_evidence_explains_nothing(ledger):
    for process in ('r1', 'r2', 'r3'):
        crash(ledger, process, 'a', 'b')
    assert ledger.judge('a', 0).crashes == 3
    assert ledger.judge('b', 0).crashes == 3


def test_crash_under_no_proven_request_stays_attributed(ledger):
    crash(ledger, 'r1', 'guilty')
    crash(ledger, 'r2', 'guilty', 'other')
    crash(ledger, 'r3', 'guilty')
    crash(ledger, 'x1', 'other')
    crash(ledger, 'x2', 'other')
    assert ledger.judge('other', 0).state is QUARANTINED


def test_evidence_expires(ledger):
    crash(ledger, 'r1', 'a')
    crash(ledger, 'r2', 'a')
    assert ledger.judge('a', 599).state is QUARANTINED
    assert ledger.judge('a', 600).state is CLEAR
    assert ledger.list_expired(600) == ['a']


def test_ten_thousand_requests_stay_bounded_and_evict_no_proven_one():
    ledger = CrashLedger(max_entries=100)
    for process in ('r1', 'r2', 'r3'):
        crash(ledger, process, 'guilty')
    for number in range(10_000):
        crash(ledger, f'x{number}', str(number), at=number)
    assert len(ledger) == 100
    assert ledger.judge('guilty', 1).state is QUARANTINED
    assert ledger.list_affected('guilty') == {'guilty'}


def test_withdrawn_rows_leave_nothing_behind(ledger):
    crash(ledger, 'r1', 'a')
    ledger.add_trial('a', 0, 1)
    ledger.remove_crash('a', 'r1')
    ledger.remove_trial('a', 0)
    ledger.remove_crash('unknown', 'r1')
    assert not len(ledger)
    assert ledger.judge('a', 1).state is CLEAR


def test_verdicts_of_bystanders_change_with_the_proof(ledger):
    crash(ledger, 'r1', 'guilty', 'bystander')
    assert ledger.list_affected('guilty') == {'guilty'}
    crash(ledger, 'r2', 'guilty')
    assert ledger.list_affected('guilty') == {'guilty', 'bystander'}


def test_cleared_request_explains_nothing(ledger):
    for process in ('r1', 'r2', 'r3'):
        crash(ledger, process, 'a')
    crash(ledger, 'r1', 'b')
    assert ledger.judge('b', 0).state is CLEAR
    ledger.clear('a')
    assert ledger.judge('b', 0).state is SUSPECT
