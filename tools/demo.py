"""Runs the whole path on loopback. Placeholder until the programs exist."""
