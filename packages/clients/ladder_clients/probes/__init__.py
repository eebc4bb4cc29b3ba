"""Probes that tell whether the process of a target has ended."""

from ladder_clients.probes.probe import TargetProbe, TcpProbe

__all__ = ('TargetProbe', 'TcpProbe')
