"""Emulation of a deployment that runs the core on an emulated clock."""
