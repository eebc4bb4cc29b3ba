"""Check that a planned stop of a node cuts off no request in flight."""

from collections.abc import Iterator

from proof.history import Attempt, History, Outcome, PlannedStop, Violation


def check_planned_stops(history: History) -> Iterator[Violation]:
    """Yield planned stops that failed, and requests that they cut off."""
    for stop in history.planned_stops:
        if stop.status:
            detail = f'{stop.node} exited with status {stop.status}'
            yield Violation('planned-stop', detail)
        for attempt in history.attempts:
            if _is_cut_off(attempt, stop):
                detail = f'the stop of {stop.node} cut off {attempt.subject}'
                yield Violation('planned-stop', detail)


def _is_cut_off(attempt: Attempt, stop: PlannedStop) -> bool:
    if attempt.node != stop.node or attempt.outcome is not Outcome.unknown:
        return False
    return attempt.begin < stop.end and attempt.end > stop.begin
