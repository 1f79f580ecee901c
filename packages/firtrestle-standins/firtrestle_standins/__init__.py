"""Stand-ins for targets, the platform and callers, used by demos, tests and benchmarks."""
