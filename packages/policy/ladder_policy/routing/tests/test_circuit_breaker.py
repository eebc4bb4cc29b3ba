from ladder_policy.routing import TargetCircuitBreaker


def open_times(circuit, failures):
    now = 0
    times = []
    for _ in range(failures):
        circuit.record_failure(now)
        begin = now
        while not circuit.allows(now, 0):
            now += 1
        times.append(now - begin)
    return times


def test_circuit_stays_open_longer_after_each_failure():
    assert open_times(TargetCircuitBreaker(), 5) == [2, 4, 8, 16, 16]


def test_failures_of_one_crash_count_once():
    circuit = TargetCircuitBreaker()
    for _ in range(100):
        circuit.record_failure(now=0)
    assert circuit.allows(now=2, in_flight=0)


def test_target_returns_gradually():
    circuit = TargetCircuitBreaker()
    circuit.record_failure(now=0)
    limits = []
    while not circuit.is_closed:
        limits.append(
            next(n for n in range(100) if not circuit.allows(2, n)),
        )
        circuit.record_success()
    assert limits == [1, 2, 4, 8, 16, 32]


def test_target_that_answers_again_is_half_open_at_once():
    circuit = TargetCircuitBreaker()
    for second in (0, 2, 6):
        circuit.record_failure(second)
    circuit.half_open(now=7)
    assert circuit.allows(now=7, in_flight=0)
    assert not circuit.allows(now=7, in_flight=1)
