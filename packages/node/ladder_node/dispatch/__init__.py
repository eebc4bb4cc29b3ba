"""Dispatch of requests to targets, with retries, crash isolation and keys."""

from ladder_node.dispatch.crashes import (
    CrashGuard,
    RequestGuard,
    UnguardedRequests,
)
from ladder_node.dispatch.engine_selector import Generation
from ladder_node.dispatch.generation import GenerationDispatcher
from ladder_node.dispatch.idempotent import IdempotentDispatcher
from ladder_node.dispatch.intent import IntentKey
from ladder_node.dispatch.intent_cleaner import IntentCleaner
from ladder_node.dispatch.intent_log import IntentLog
from ladder_node.dispatch.intent_writer import IntentWriter
from ladder_node.dispatch.retries import (
    BudgetedRetries,
    RetryPolicy,
    UnlimitedRetries,
)
from ladder_node.dispatch.services import ServiceDispatcher
from ladder_node.dispatch.shared_suspect_registry import SharedSuspectRegistry
from ladder_node.dispatch.suspect_registry import (
    MemorySuspectRegistry,
    SuspectRegistry,
    SuspicionState,
)

__all__ = (
    'BudgetedRetries',
    'CrashGuard',
    'Generation',
    'GenerationDispatcher',
    'IdempotentDispatcher',
    'IntentCleaner',
    'IntentKey',
    'IntentLog',
    'IntentWriter',
    'MemorySuspectRegistry',
    'RequestGuard',
    'RetryPolicy',
    'ServiceDispatcher',
    'SharedSuspectRegistry',
    'SuspectRegistry',
    'SuspicionState',
    'UnguardedRequests',
    'UnlimitedRetries',
)
