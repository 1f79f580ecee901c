"""Measure the decisions on a query's way against a naive baseline."""
