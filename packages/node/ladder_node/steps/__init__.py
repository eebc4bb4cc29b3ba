"""Steps of trainers: generate groups of samples and hand them over."""

from ladder_node.steps.capacity import StepCapacity
from ladder_node.steps.catalog import StepCatalog
from ladder_node.steps.errors import StepElsewhereError
from ladder_node.steps.factory import RunnerFactory
from ladder_node.steps.handover import Handover, HeldGroups, Pull
from ladder_node.steps.registry import StepRegistry
from ladder_node.steps.runner import StepRunner
from ladder_node.steps.spec import StepSpec
from ladder_node.steps.store import StepStore
from ladder_node.steps.trainer_leases import TrainerLeases

__all__ = (
    'Handover',
    'HeldGroups',
    'Pull',
    'RunnerFactory',
    'StepCatalog',
    'StepCapacity',
    'StepElsewhereError',
    'StepRegistry',
    'StepRunner',
    'StepSpec',
    'StepStore',
    'TrainerLeases',
)
