import pytest

from proof.checkers import check_all
from proof.faults import FaultKind, FaultSchedule, PlannedFault
from proof.main import CHECKERS
from proof.run import run_history

SECONDS = 5


def plan(kind, at=1, seconds=2, choice=0):
    return PlannedFault(kind, at, seconds, choice)


@pytest.mark.parametrize(
    'faults',
    [
        (plan(FaultKind.kill_engine), plan(FaultKind.kill_service)),
        (plan(FaultKind.store_answers_lost), plan(FaultKind.swap_fails)),
        (plan(FaultKind.engine_leaves), plan(FaultKind.edit_lists, at=2)),
        (
            plan(FaultKind.silence_connections),
            plan(FaultKind.race_edits, at=2),
            plan(FaultKind.cut_connections, at=3),
        ),
    ],
    ids=[
        'targets-killed',
        'store-answers-lost',
        'leaving-and-edit',
        'connections-and-race',
    ],
)
async def test_history_under_faults_keeps_every_promise(faults, tmp_path):
    history = await run_history(FaultSchedule(0, SECONDS, faults), tmp_path)
    assert history.attempts
    assert history.deliveries
    assert not check_all(history, CHECKERS)
