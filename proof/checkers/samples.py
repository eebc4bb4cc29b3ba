"""Check the delivery, staleness and weight versions of samples."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from ladder_standins.engine.text import make_token
from proof.history import Delivery, GeneratedTokens, History, Violation

_TokenKey = tuple[str, int, int]


def check_exactly_once(history: History) -> Iterator[Violation]:
    """Yield samples that arrived more than once, and incomplete steps."""
    counts = Counter(delivery.sample_id for delivery in history.deliveries)
    for sample_id, count in counts.items():
        if count > 1:
            yield Violation(
                'exactly-once', f'{sample_id} arrived {count} times'
            )
    arrived: dict[str, set[str]] = defaultdict(set)
    for delivery in history.deliveries:
        arrived[delivery.step].add(delivery.sample_id)
    for step_end in history.step_ends:
        if len(arrived[step_end.step]) != step_end.requested_samples:
            yield Violation(
                'exactly-once',
                f'{step_end.step} ended with {len(arrived[step_end.step])} '
                f'of {step_end.requested_samples} samples',
            )


def check_staleness(history: History) -> Iterator[Violation]:
    """Yield samples that are staler than their plan allows."""
    for delivery in history.deliveries:
        oldest = min(span.version for span in delivery.spans)
        if delivery.trainer_version - oldest > delivery.staleness_bound:
            yield Violation(
                'staleness',
                f'{delivery.sample_id} of version {oldest} reached a trainer '
                f'at version {delivery.trainer_version}',
            )


def check_versions(history: History) -> Iterator[Violation]:
    """Yield samples whose stated versions did not generate their tokens."""
    generated_versions: dict[_TokenKey, set[int]] = defaultdict(set)
    seeds: dict[str, set[int]] = defaultdict(set)
    for generated in history.generated_tokens:
        seeds[generated.prompt].add(generated.seed)
        for token_key in _list_token_keys(generated):
            generated_versions[token_key].add(generated.version)
    for delivery in history.deliveries:
        if not _matches_generation(
            delivery, seeds[delivery.prompt], generated_versions
        ):
            yield Violation(
                'versions',
                f'{delivery.sample_id} names {delivery.spans}',
            )


def _list_token_keys(generated: GeneratedTokens) -> list[_TokenKey]:
    end = generated.position + generated.tokens
    return [
        (generated.prompt, generated.seed, index)
        for index in range(generated.position, end)
    ]


def _matches_generation(
    delivery: Delivery,
    seeds: set[int],
    generated_versions: dict[_TokenKey, set[int]],
) -> bool:
    stated_versions = [
        span.version for span in delivery.spans for _ in range(span.tokens)
    ]
    for seed in seeds:
        tokens = [
            make_token(delivery.prompt, seed, index)
            for index in range(len(stated_versions))
        ]
        if ''.join(tokens) == delivery.text:
            return all(
                version in generated_versions[delivery.prompt, seed, index]
                for index, version in enumerate(stated_versions)
            )
    return False
