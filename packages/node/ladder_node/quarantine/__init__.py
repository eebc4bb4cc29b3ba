"""Quarantine of requests that crash the replicas that run them."""

from ladder_node.quarantine.base import (
    GuardedRequest,
    RunGuard,
    UnlimitedRuns,
)
from ladder_node.quarantine.component import Quarantine
from ladder_node.quarantine.detector import (
    CrashDetector,
    CrashListener,
    make_process_name,
)
from ladder_node.quarantine.guard import QuarantineGuard
from ladder_node.quarantine.identity import identify_request
from ladder_node.quarantine.peers import (
    EVIDENCE_PATH,
    EvidenceApp,
    EvidenceRow,
    EvidenceSender,
    HttpEvidenceSender,
)

__all__ = (
    'EVIDENCE_PATH',
    'CrashDetector',
    'CrashListener',
    'EvidenceApp',
    'EvidenceRow',
    'EvidenceSender',
    'GuardedRequest',
    'HttpEvidenceSender',
    'Quarantine',
    'QuarantineGuard',
    'RunGuard',
    'UnlimitedRuns',
    'identify_request',
    'make_process_name',
)
