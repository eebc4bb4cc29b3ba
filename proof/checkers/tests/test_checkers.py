import pytest

from ladder_standins.engine.text import make_token
from proof.checkers import (
    check_at_most_once,
    check_configuration,
    check_exactly_once,
    check_leaving_targets,
    check_own_whole_answers,
    check_planned_stops,
    check_refusals,
    check_staleness,
    check_versions,
)
from proof.history import (
    Attempt,
    Delivery,
    Execution,
    GeneratedTokens,
    History,
    LeavingTarget,
    ObservedRevision,
    Outcome,
    PlannedStop,
    StepEnd,
)
from proof.history.events import Span

TEXT = ''.join(make_token('p', 7, index) for index in range(3))
GENERATED = [GeneratedTokens('p', 7, 0, 2, 1), GeneratedTokens('p', 7, 2, 1, 2)]


def deliver(*spans, sample_id='t/0/0/0', trainer_version=2, text=TEXT):
    named = tuple(Span(*span) for span in spans)
    return Delivery(sample_id, 't/0', 'p', text, named, trainer_version, 1)


def attempt(outcome, subject='claim-1', begin=1, end=2, **fields):
    return Attempt(subject, 'node-1', begin, end, outcome, **fields)


GOOD = History(
    attempts=[
        attempt(Outcome.not_run),
        attempt(Outcome.answered, begin=3, end=4, text='a', expected='a'),
    ],
    executions=[Execution('claim-1', 'service-1', 3.5)],
    generated_tokens=GENERATED,
    deliveries=[deliver((1, 2), (2, 1))],
    step_ends=[StepEnd('t/0', 1)],
    observed_revisions=[
        ObservedRevision('node-1', 1, 1),
        ObservedRevision('node-1', 9, 2),
    ],
    accepted_edits=[ObservedRevision('', 2, 2)],
    leaving_targets=[LeavingTarget('service-1', 2)],
    planned_stops=[PlannedStop('node-1', 5, 6, 0)],
)
BAD = [
    (
        check_at_most_once,
        History(
            executions=[
                Execution('claim-1', 'a', 1),
                Execution('claim-1', 'b', 1),
            ],
        ),
    ),
    (
        check_refusals,
        History(
            attempts=[attempt(Outcome.not_run)],
            executions=[Execution('claim-1', 'a', 3)],
        ),
    ),
    (
        check_own_whole_answers,
        History(attempts=[attempt(Outcome.answered, text='a', expected='ab')]),
    ),
    (
        check_exactly_once,
        History(deliveries=[deliver((1, 3)), deliver((1, 3))]),
    ),
    (check_exactly_once, History(step_ends=[StepEnd('t/0', 1)])),
    (
        check_staleness,
        History(deliveries=[deliver((2, 2), (1, 1), trainer_version=3)]),
    ),
    (
        check_versions,
        History(generated_tokens=GENERATED, deliveries=[deliver((2, 3))]),
    ),
    (
        check_versions,
        History(
            generated_tokens=GENERATED, deliveries=[deliver((1, 2), text='x ')]
        ),
    ),
    (
        check_leaving_targets,
        History(
            executions=[Execution('claim-1', 'a', 9)],
            leaving_targets=[LeavingTarget('a', 2)],
        ),
    ),
    (
        check_planned_stops,
        History(planned_stops=[PlannedStop('node-1', 1, 2, 1)]),
    ),
    (
        check_planned_stops,
        History(
            attempts=[attempt(Outcome.unknown, begin=1, end=3)],
            planned_stops=[PlannedStop('node-1', 2, 4, 0)],
        ),
    ),
    (
        check_configuration,
        History(
            accepted_edits=[
                ObservedRevision('', 1, 2),
                ObservedRevision('', 2, 2),
            ]
        ),
    ),
    (
        check_configuration,
        History(
            observed_revisions=[
                ObservedRevision('a', 1, 2),
                ObservedRevision('a', 2, 1),
            ],
        ),
    ),
    (
        check_configuration,
        History(
            observed_revisions=[ObservedRevision('a', 8, 1)],
            accepted_edits=[ObservedRevision('', 2, 2)],
        ),
    ),
]


@pytest.mark.parametrize(
    'checker', dict.fromkeys(checker for checker, _ in BAD)
)
def test_good_history_passes(checker):
    assert not list(checker(GOOD))


@pytest.mark.parametrize(('checker', 'history'), BAD)
def test_bad_history_is_caught(checker, history):
    assert list(checker(history))
