"""Stand-ins for the systems around the nodes, for tests and benchmarks."""
