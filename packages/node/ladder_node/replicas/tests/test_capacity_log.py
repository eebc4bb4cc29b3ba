"""
Events for changes of what is learned of a replica.

Guards against a line for each disturbance, and against changes without one.
"""

from dataclasses import replace

import pytest

from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService
from ladder_node.replicas.capacity_log import CapacityLog
from ladder_policy.capacity import CapacityView, LearnedFleet

USUAL = CapacityView(0.07, 0.07, 40, 0.3, 1, 0, 6)


@pytest.fixture
def timeline():
    return Timeline('node', HybridClock(ManualTimerService()))


def list_changes(timeline):
    events = timeline.read(HybridTime(), 99)
    return [event.fields['change'] for event in events]


def test_only_material_changes_are_recorded(timeline):
    log = CapacityLog(timeline)
    for view in (
        USUAL,
        replace(USUAL, usual_seconds=0.08),
        replace(USUAL, slow_ratio=2.5, slow_for=0.6),
        replace(USUAL, slow_ratio=3, slow_for=1.2),
        replace(USUAL, slow_ratio=3, slow_for=1.3),
        USUAL,
        replace(USUAL, limit=3),
        replace(USUAL, limit=3, usual_seconds=0.1),
    ):
        log.check('r0', 'kegs', view)
    assert list_changes(timeline) == [
        'first',
        'slow-down',
        'recovery',
        'limit',
        'speed',
    ]


def test_few_samples_are_no_event(timeline):
    CapacityLog(timeline).check('r0', 'kegs', replace(USUAL, samples=3))
    assert not list_changes(timeline)


def test_load_of_equal_durations_makes_one_line(timeline):
    log = CapacityLog(timeline)
    server = LearnedFleet(0.07).make_server()
    for moment in range(200):
        server.observe((0.05, 0.07, 0.09)[moment % 3], 1, moment)
        log.check('r0', 'kegs', server.describe(6))
    assert list_changes(timeline) == ['first']
