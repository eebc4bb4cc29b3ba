"""Serve callers, and stop without cutting any of them off."""

from ladder_node.serving.drain import Drain, EntryMiddleware
from ladder_node.serving.server import EntryServer

__all__ = ('Drain', 'EntryMiddleware', 'EntryServer')
