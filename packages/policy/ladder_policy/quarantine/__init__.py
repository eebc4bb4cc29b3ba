"""Which requests are suspected of crashing replicas, and when to retry them."""

from ladder_policy.quarantine.ledger import (
    CrashLedger,
    Evidence,
    RequestState,
    Verdict,
)

__all__ = ('CrashLedger', 'Evidence', 'RequestState', 'Verdict')
