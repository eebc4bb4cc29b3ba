"""Targets that a node knows, and the reads that keep them up to date."""

from ladder_node.targets.table import Target, TargetTable
from ladder_node.targets.watcher import TargetWatcher

__all__ = ('Target', 'TargetTable', 'TargetWatcher')
