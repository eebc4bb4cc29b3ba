from ladder_standins.engine.text import draw_length


def test_long_samples_come_at_their_share():
    constant = '[draw=100:0:0:1] note'
    with_long = '[draw=100:0:0.1:20] note'
    assert {draw_length(constant, seed, 10_000) for seed in range(9)} == {100}
    lengths = [draw_length(with_long, seed, 10_000) for seed in range(500)]
    assert set(lengths) == {100, 2000}
    assert 25 <= lengths.count(2000) <= 75
