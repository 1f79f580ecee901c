"""Stand in for targets, the platform and callers, for demos, tests and benchmarks."""
