"""Command-line client for the operators of a firtrestle fleet."""
