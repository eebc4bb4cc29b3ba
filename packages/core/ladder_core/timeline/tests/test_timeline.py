from ladder_core.timeline import (
    HybridClock,
    HybridTime,
    Timeline,
    merge_events,
)
from ladder_core.timers import ManualTimerService


def make_line(node, capacity=10, start=1):
    return Timeline(node, HybridClock(ManualTimerService(start)), capacity)


def test_effect_comes_after_cause_although_its_wall_clock_is_behind():
    sender = make_line('a', start=9)
    receiver = make_line('b', start=1)
    sender.record('sent', 'm')
    cause = sender.read(HybridTime(), 9)
    receiver.clock.observe(cause[0].stamp)
    receiver.record('received', 'm')
    effect = receiver.read(HybridTime(), 9)
    merged = merge_events([effect, cause])
    assert [event.kind for event in merged] == ['sent', 'received']


def test_oldest_events_are_dropped_at_capacity():
    line = make_line('a', capacity=2)
    for number in range(5):
        line.record('counted', str(number))
    assert [event.subject for event in line.read(HybridTime(), 9)] == ['3', '4']
