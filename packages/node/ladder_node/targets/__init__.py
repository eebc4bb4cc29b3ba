"""Knowledge of a node about the targets."""

from ladder_node.targets.table import Target, TargetTable
from ladder_node.targets.watcher import TargetWatcher

__all__ = ('Target', 'TargetTable', 'TargetWatcher')
