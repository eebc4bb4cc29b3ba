"""HTTP interface of a node for callers, trainers and operators."""

from ladder_node.entry.app import make_entry_app
from ladder_node.entry.dependencies import EntryDependencies
from ladder_node.entry.request_log import RequestLogMiddleware

__all__ = ('EntryDependencies', 'RequestLogMiddleware', 'make_entry_app')
