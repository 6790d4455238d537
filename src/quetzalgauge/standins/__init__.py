"""Test stand-ins: a simulated platform with targets, and local instances."""
