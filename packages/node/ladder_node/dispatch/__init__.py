"""Send requests to targets."""

from ladder_node.dispatch.generation import Generation, GenerationDispatcher
from ladder_node.dispatch.intent import IntentKey
from ladder_node.dispatch.intent_cleaner import IntentCleaner
from ladder_node.dispatch.intent_log import IntentLog
from ladder_node.dispatch.intent_writer import IntentWriter
from ladder_node.dispatch.keyed import KeyedDispatcher
from ladder_node.dispatch.plain import PlainDispatcher

__all__ = (
    'Generation',
    'GenerationDispatcher',
    'IntentCleaner',
    'IntentKey',
    'IntentLog',
    'IntentWriter',
    'KeyedDispatcher',
    'PlainDispatcher',
)
