import msgspec

from bench.measures import Quantiles, RunMeasures
from bench.report import format_summary, format_table, read_lines, write_lines

_MEASURES = RunMeasures(
    experiment='calm',
    deployment='cellarwatch',
    variant='round-robin',
    seed=1,
    idle_share=0.25,
    unavoidable_share=0.2,
    stale_versions=Quantiles(0, 1, 1),
    stale_seconds=Quantiles(0, 2.5, 3),
    step_seconds=Quantiles(10, 20, 30),
    goodput=1500,
    call_p50=0.1,
    call_p99=0.4,
    answered=20,
    refused=1,
    failed=0,
    excess_replica_seconds=12.5,
    link_bytes=2_000_000,
    lost=0,
    doubled=0,
    too_old=0,
)


def test_seeds_share_a_column_with_their_spread(snapshot):
    second = msgspec.structs.replace(_MEASURES, seed=2, idle_share=0.35)
    other = msgspec.structs.replace(_MEASURES, variant='least-loaded')
    assert format_table([_MEASURES, second, other]) == snapshot


def test_summary_has_a_row_for_each_variant(snapshot):
    second = msgspec.structs.replace(_MEASURES, seed=2, call_p99=0.6)
    other = msgspec.structs.replace(_MEASURES, experiment='burst')
    assert format_summary([_MEASURES, second, other]) == snapshot


def test_lines_read_back(tmp_path):
    path = tmp_path / 'outcomes.jsonl'
    write_lines(path, [_MEASURES])
    assert read_lines(path) == [_MEASURES]
