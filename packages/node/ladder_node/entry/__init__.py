"""The HTTP side towards callers, trainers and operators."""

from ladder_node.entry.app import make_entry_app
from ladder_node.entry.drain import Drain, EntryMiddleware
from ladder_node.entry.parts import EntryParts
from ladder_node.entry.request_log import RequestLogMiddleware
from ladder_node.entry.server import EntryServer

__all__ = (
    'Drain',
    'EntryMiddleware',
    'EntryParts',
    'EntryServer',
    'RequestLogMiddleware',
    'make_entry_app',
)
