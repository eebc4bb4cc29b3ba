"""Steps of trainers: generation of whole groups and their hand-over."""

from ladder_node.steps.capacity import StepCapacity
from ladder_node.steps.handover import Handover, HeldGroups, Pull
from ladder_node.steps.registry import StepRegistry
from ladder_node.steps.runner import StepRunner
from ladder_node.steps.spec import StepSpec

__all__ = (
    'Handover',
    'HeldGroups',
    'Pull',
    'StepCapacity',
    'StepRegistry',
    'StepRunner',
    'StepSpec',
)
