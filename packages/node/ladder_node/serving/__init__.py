"""HTTP serving of callers, with a graceful drain before the stop."""

from ladder_node.serving.admission import HOLDINGS_STATE, Holdings
from ladder_node.serving.budget import HostLimits
from ladder_node.serving.connections import run_while_connected
from ladder_node.serving.drain import Drain, EntryMiddleware
from ladder_node.serving.guard import ClientGuard
from ladder_node.serving.server import ClientBounds, EntryServer
from ladder_node.serving.shutdown import Shutdown

__all__ = (
    'ClientBounds',
    'ClientGuard',
    'Drain',
    'EntryMiddleware',
    'EntryServer',
    'HOLDINGS_STATE',
    'Holdings',
    'HostLimits',
    'run_while_connected',
    'Shutdown',
)
