from ladder_core.timeline import (
    HybridClock,
    HybridTime,
    Timeline,
    merge_events,
)
from ladder_core.timers import ManualTimerService


def make_timeline(node, capacity=10, start=1):
    return Timeline(node, HybridClock(ManualTimerService(start)), capacity)


def test_effect_comes_after_cause_although_its_wall_clock_is_behind():
    sender = make_timeline('a', start=9)
    receiver = make_timeline('b', start=1)
    sender.record('sent', 'm')
    cause = sender.read(HybridTime(), 9)
    receiver.clock.observe(cause[0].stamp)
    receiver.record('received', 'm')
    effect = receiver.read(HybridTime(), 9)
    merged = merge_events([effect, cause])
    assert [event.kind for event in merged] == ['sent', 'received']


def test_oldest_events_are_dropped_at_capacity():
    timeline = make_timeline('a', capacity=2)
    for number in range(5):
        timeline.record('counted', str(number))
    assert [event.subject for event in timeline.read(HybridTime(), 9)] == [
        '3',
        '4',
    ]
