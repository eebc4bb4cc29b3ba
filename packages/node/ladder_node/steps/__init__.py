"""Steps of trainers: generation of whole groups and their hand-over."""

from ladder_node.steps.book import StepBook
from ladder_node.steps.capacity import StepCapacity
from ladder_node.steps.errors import StepElsewhereError
from ladder_node.steps.factory import RunnerFactory
from ladder_node.steps.handover import Handover, HeldGroups, Pull
from ladder_node.steps.registry import StepRegistry
from ladder_node.steps.runner import StepRunner
from ladder_node.steps.spec import StepSpec
from ladder_node.steps.store import StepStore
from ladder_node.steps.tenure import StepTenure

__all__ = (
    'Handover',
    'HeldGroups',
    'Pull',
    'RunnerFactory',
    'StepBook',
    'StepCapacity',
    'StepElsewhereError',
    'StepRegistry',
    'StepRunner',
    'StepSpec',
    'StepStore',
    'StepTenure',
)
