"""Send requests to targets."""

from ladder_node.dispatch.generation import Generation, GenerationDispatcher
from ladder_node.dispatch.plain import PlainDispatcher

__all__ = ('Generation', 'GenerationDispatcher', 'PlainDispatcher')
