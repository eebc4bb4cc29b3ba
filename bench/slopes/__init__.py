"""Slopes of a node's cost over size, and what follows at the target size."""
