"""An emulator of a deployment that drives the core on an emulated clock."""
