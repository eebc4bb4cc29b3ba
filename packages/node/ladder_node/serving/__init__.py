"""HTTP serving of callers, with a graceful drain before the stop."""

from ladder_node.serving.drain import Drain, EntryMiddleware
from ladder_node.serving.server import EntryServer

__all__ = ('Drain', 'EntryMiddleware', 'EntryServer')
