"""Experiments on whole systems of stand-ins, and cost measurements."""
