"""Check samples: versions, staleness, exactly once."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from ladder_standins.engine.text import make_token
from proof.history import Delivery, Finding, Generated, History

_Position = tuple[str, int, int]


def check_exactly_once(history: History) -> Iterator[Finding]:
    """Yield samples that arrived twice, and steps that ended with a lack."""
    counts = Counter(delivery.sample_id for delivery in history.deliveries)
    for sample_id, count in counts.items():
        if count > 1:
            yield Finding('exactly-once', f'{sample_id} arrived {count} times')
    arrived: dict[str, set[str]] = defaultdict(set)
    for delivery in history.deliveries:
        arrived[delivery.step].add(delivery.sample_id)
    for end in history.step_ends:
        if len(arrived[end.step]) != end.wanted:
            yield Finding(
                'exactly-once',
                f'{end.step} ended with {len(arrived[end.step])} '
                f'of {end.wanted} samples',
            )


def check_staleness(history: History) -> Iterator[Finding]:
    """Yield samples that were older than their plan allows."""
    for delivery in history.deliveries:
        oldest = min(span.version for span in delivery.spans)
        if delivery.trainer_version - oldest > delivery.bound:
            yield Finding(
                'staleness',
                f'{delivery.sample_id} of version {oldest} reached a trainer '
                f'at {delivery.trainer_version}',
            )


def check_versions(history: History) -> Iterator[Finding]:
    """Yield samples that name versions which did not produce them."""
    truth: dict[_Position, set[int]] = defaultdict(set)
    seeds: dict[str, set[int]] = defaultdict(set)
    for generated in history.generated:
        seeds[generated.prompt].add(generated.seed)
        for position in _list_positions(generated):
            truth[position].add(generated.version)
    for delivery in history.deliveries:
        if not _is_true(delivery, seeds[delivery.prompt], truth):
            yield Finding(
                'versions',
                f'{delivery.sample_id} names {delivery.spans}',
            )


def _list_positions(generated: Generated) -> list[_Position]:
    last = generated.position + generated.tokens
    return [
        (generated.prompt, generated.seed, index)
        for index in range(generated.position, last)
    ]


def _is_true(
    delivery: Delivery,
    seeds: set[int],
    truth: dict[_Position, set[int]],
) -> bool:
    named = [
        span.version for span in delivery.spans for _ in range(span.tokens)
    ]
    for seed in seeds:
        words = [
            make_token(delivery.prompt, seed, index)
            for index in range(len(named))
        ]
        if ''.join(words) == delivery.text:
            return all(
                version in truth[delivery.prompt, seed, index]
                for index, version in enumerate(named)
            )
    return False
