"""Give operators a command line over the fleet."""
