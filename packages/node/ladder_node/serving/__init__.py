"""HTTP serving of callers, with a graceful drain before the stop."""

from ladder_node.serving.connections import run_while_connected
from ladder_node.serving.drain import Drain, EntryMiddleware
from ladder_node.serving.server import EntryServer
from ladder_node.serving.shutdown import Shutdown

__all__ = (
    'Drain',
    'EntryMiddleware',
    'EntryServer',
    'run_while_connected',
    'Shutdown',
)
