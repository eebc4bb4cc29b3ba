from ladder_clients.engines import EngineState
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import HostEntry, HostKind
from ladder_node.dispatch.engine_selector import EngineSelector, Generation
from ladder_node.targets import TargetTable
from ladder_policy.regions import AnyRegion
from ladder_policy.routing import LeastLoadedChooser


def make_selector(versions):
    timers = ManualTimerService()
    targets = TargetTable(timers, Timeline('node', HybridClock(timers)))
    targets.update_hosts(
        HostEntry(name, HostKind.engine, f'{name}:1', 'dc', 'r', model='m')
        for name in versions
    )
    for name, version in versions.items():
        load = EngineState(version, running=version, batch_limit=8)
        targets.update_state(name, load)
    return EngineSelector(targets, LeastLoadedChooser(), AnyRegion())


def choose(versions, min_version):
    generation = Generation('m', ('',), (), 'p', 9, min_version=min_version)
    return make_selector(versions).choose(generation).entry.name


def test_engine_whose_samples_would_be_too_old_is_left_out():
    assert choose({'idle': 0, 'fresh': 2}, 0) == 'idle'
    assert choose({'idle': 0, 'fresh': 2}, 1) == 'fresh'


def test_old_engines_are_used_when_there_is_no_other():
    assert choose({'first': 0, 'second': 1}, 2) == 'first'
