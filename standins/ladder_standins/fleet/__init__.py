"""Start and stop all processes of a system on the loopback interface."""

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
