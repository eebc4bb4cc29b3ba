"""Calls to the platform's store through another node."""

from ladder_node.detours.carrier import DetourApp
from ladder_node.detours.messages import CarriedAnswer, CarriedCall
from ladder_node.detours.sender import Detour, DetourError

__all__ = (
    'CarriedAnswer',
    'CarriedCall',
    'Detour',
    'DetourApp',
    'DetourError',
)
