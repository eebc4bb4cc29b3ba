"""
Scheduling, routing and admission policies without input or output.

A decision with alternatives has an abstract base class and a simple baseline
implementation beside the one that is used by default.
"""
