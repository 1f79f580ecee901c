"""Benchmarks of the query policies against a naive baseline, and of the daemons' overhead."""
