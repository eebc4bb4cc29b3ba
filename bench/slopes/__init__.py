"""Growth of the cost of a node with load, extrapolated to the target size."""
