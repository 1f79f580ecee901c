"""Serve queries over sharded collections from many equal daemons."""

__version__ = "0.1.0"
