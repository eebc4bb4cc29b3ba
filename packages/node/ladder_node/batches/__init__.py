"""
Batches: tasks that are accepted together and run later.

Any node accepts a batch, reads its results and ends it, all of that in the
platform's table. The node that holds the lease of the duty runs the tasks.
"""

from ladder_node.batches.desk import BatchDesk
from ladder_node.batches.owner import BatchOwner
from ladder_node.batches.parts import OwnerParts
from ladder_node.batches.records import TaskResult, TaskState
from ladder_node.batches.spec import BatchSpec, ScorerSpec, TaskSpec
from ladder_node.batches.store import BatchStore, ResultPage

__all__ = (
    'BatchDesk',
    'BatchOwner',
    'BatchSpec',
    'BatchStore',
    'OwnerParts',
    'ResultPage',
    'ScorerSpec',
    'TaskResult',
    'TaskSpec',
    'TaskState',
)
