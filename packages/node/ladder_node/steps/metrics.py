"""Metrics of steps."""

from prometheus_client import Counter, Gauge, Histogram

_STALENESS_BUCKETS = (0, 1, 2, 3, 4, 6, 8, 16)

STEPS_OPEN = Gauge(
    'ladder_steps_open',
    'Steps that this node runs.',
)
SAMPLES_RUNNING = Gauge(
    'ladder_samples_running',
    'Samples that this node has in generation or scoring.',
)
SAMPLES_FINISHED = Counter(
    'ladder_samples_finished_total',
    'Samples generated and scored.',
    ('trainer',),
)
SAMPLES_TOO_OLD = Counter(
    'ladder_samples_too_old_total',
    'Samples dropped for their staleness and generated again.',
    ('trainer',),
)
SAMPLES_FAILED = Counter(
    'ladder_sample_failures_total',
    'Failed attempts at a sample, by kind of error.',
    ('trainer', 'kind'),
)
SAMPLES_HEDGED = Counter(
    'ladder_samples_hedged_total',
    'Second runs of stragglers.',
    ('trainer',),
)
HEDGES_WON = Counter(
    'ladder_hedges_won_total',
    'Second runs that finished before the first.',
    ('trainer',),
)
GROUPS_HANDED_OVER = Counter(
    'ladder_groups_handed_over_total',
    'Groups in answers to pulls, repeated answers included.',
    ('trainer',),
)
STALENESS = Histogram(
    'ladder_group_staleness_versions',
    'Versions between the trainer and the oldest span at hand-over.',
    ('trainer',),
    buckets=_STALENESS_BUCKETS,
)
GROUPS_SAVED = Counter(
    'ladder_groups_saved_total',
    'Groups saved to the object store against the loss of this node.',
)
STEPS_TAKEN_OVER = Counter(
    'ladder_steps_taken_over_total',
    'Steps that this node went on with after another node.',
)
STEPS_REDIRECTED = Counter(
    'ladder_step_redirects_total',
    'Requests answered with the address of the node that runs the step.',
)
STEPS_UNRECORDED = Counter(
    'ladder_steps_unrecorded_total',
    'Steps that run while the store does not answer.',
)
