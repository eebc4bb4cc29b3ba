"""
Batches: tasks that are accepted together and run later.

Any node accepts a batch, reads its results and ends it, all of that in the
platform's table. The node that holds the lease of the duty runs the tasks.
"""

from ladder_node.batches.api import BatchApi
from ladder_node.batches.components import OwnerComponents
from ladder_node.batches.owner import BatchOwner
from ladder_node.batches.records import TaskResult, TaskState
from ladder_node.batches.spec import BatchSpec, ScorerSpec, TaskSpec
from ladder_node.batches.store import BatchStore, ResultPage

__all__ = (
    'BatchApi',
    'BatchOwner',
    'BatchSpec',
    'BatchStore',
    'OwnerComponents',
    'ResultPage',
    'ScorerSpec',
    'TaskResult',
    'TaskSpec',
    'TaskState',
)
