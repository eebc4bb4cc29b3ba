"""Start and stop the processes of a whole system on loopback."""

from ladder_standins.fleet.controls import Controls
from ladder_standins.fleet.layout import EngineLayout, Layout, NodeLayout
from ladder_standins.fleet.processes import ProcessGroup
from ladder_standins.fleet.system import Fleet

__all__ = (
    'Controls',
    'EngineLayout',
    'Fleet',
    'Layout',
    'NodeLayout',
    'ProcessGroup',
)
