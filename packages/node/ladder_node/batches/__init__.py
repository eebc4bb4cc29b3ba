"""
Batches of tasks that are accepted together and run asynchronously.

Any node can accept a batch, read its results and end it, because the state of
a batch is in the platform's table. One node at a time runs the tasks: the
holder of the lease of the duty `batches`.
"""

from ladder_node.batches.api import BatchApi
from ladder_node.batches.demand import BatchAutoscaler
from ladder_node.batches.dependencies import OwnerDependencies
from ladder_node.batches.fitness import DutyFitness, PathFitness
from ladder_node.batches.offers import (
    OFFER_PATH,
    DutyOffer,
    DutyOfferReply,
    make_offer_sender,
)
from ladder_node.batches.owner import BatchOwner
from ladder_node.batches.records import TaskResult, TaskState
from ladder_node.batches.spec import BatchSpec, ScorerSpec, TaskSpec
from ladder_node.batches.store import BatchStore, ResultPage

__all__ = (
    'OFFER_PATH',
    'BatchApi',
    'BatchAutoscaler',
    'BatchOwner',
    'BatchSpec',
    'BatchStore',
    'DutyFitness',
    'DutyOffer',
    'DutyOfferReply',
    'OwnerDependencies',
    'PathFitness',
    'ResultPage',
    'ScorerSpec',
    'TaskResult',
    'TaskSpec',
    'TaskState',
    'make_offer_sender',
)
