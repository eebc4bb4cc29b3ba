"""Which requests are suspected of crashing replicas, and when to retry them."""

from ladder_policy.quarantine.ledger import (
    QUARANTINE_CRASHES,
    CrashLedger,
    Evidence,
    RequestState,
    Verdict,
)

__all__ = (
    'QUARANTINE_CRASHES',
    'CrashLedger',
    'Evidence',
    'RequestState',
    'Verdict',
)
