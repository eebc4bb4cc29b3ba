"""
Send prompts with the same prefix to the same target if its load allows.

References
----------
D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998 (rendezvous hashing).
V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with bounded
loads", SODA 2018.

"""

import hashlib
from collections.abc import Sequence

from ladder_policy.routing.base import Candidate, TargetChooser

_PREFIX_CHARACTERS = 256
_MAX_LOAD_RATIO = 1.25
_MIN_LOAD_BOUND = 0.25
_DIGEST_BYTES = 8


class PrefixAffinityChooser(TargetChooser):
    """
    Choose the first target in the prompt's order that is not overloaded.

    Explanation
    -----------
    The prefix of a prompt ranks the targets in the same order at every node
    (rendezvous hashing), so that the same few targets keep the prefix in their
    caches. A target is skipped while its load is a quarter above the average
    or more and it uses a quarter of its batch or more; the prompt then goes to
    the next target of its order.

    Examples
    --------
    >>> chooser = PrefixAffinityChooser()
    >>> idle = [Candidate(name, batch_limit=8) for name in 'abcd']
    >>> first = chooser.choose('night log', idle)
    >>> chooser.choose('night log', idle[::-1]) == first
    True

    """

    def _choose(
        self,
        prompt: str,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        bound = _compute_load_bound(candidates)
        prefix = prompt[:_PREFIX_CHARACTERS].encode()
        allowed = [
            candidate
            for candidate in candidates
            if candidate.load < bound * candidate.batch_limit
        ]
        # Rounding may exclude all targets when they are equally loaded.
        return max(
            allowed or candidates,
            key=lambda candidate: _rank(prefix, candidate),
        )


def _compute_load_bound(candidates: Sequence[Candidate]) -> float:
    """Return the share of a batch from which on a target is overloaded."""
    slots = sum(candidate.batch_limit for candidate in candidates)
    load = sum(candidate.load for candidate in candidates) + 1
    return max(_MIN_LOAD_BOUND, _MAX_LOAD_RATIO * load / slots)


def _rank(prefix: bytes, candidate: Candidate) -> bytes:
    digest = hashlib.blake2b(prefix, digest_size=_DIGEST_BYTES)
    digest.update(b'\0')
    digest.update(candidate.name.encode())
    return digest.digest()
