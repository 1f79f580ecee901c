"""Contain the policies and outputs that register themselves with the kernel."""
