"""Send requests to targets."""

from ladder_node.dispatch.crashes import (
    CrashGuard,
    RequestGuard,
    UnguardedRequests,
)
from ladder_node.dispatch.generation import Generation, GenerationDispatcher
from ladder_node.dispatch.intent import IntentKey
from ladder_node.dispatch.intent_cleaner import IntentCleaner
from ladder_node.dispatch.intent_log import IntentLog
from ladder_node.dispatch.intent_writer import IntentWriter
from ladder_node.dispatch.keyed import KeyedDispatcher
from ladder_node.dispatch.plain import PlainDispatcher
from ladder_node.dispatch.shared_suspects import SharedSuspectBoard
from ladder_node.dispatch.suspects import (
    MemorySuspectBoard,
    Standing,
    SuspectBoard,
)

__all__ = (
    'CrashGuard',
    'Generation',
    'GenerationDispatcher',
    'IntentCleaner',
    'IntentKey',
    'IntentLog',
    'IntentWriter',
    'KeyedDispatcher',
    'MemorySuspectBoard',
    'PlainDispatcher',
    'RequestGuard',
    'SharedSuspectBoard',
    'Standing',
    'SuspectBoard',
    'UnguardedRequests',
)
