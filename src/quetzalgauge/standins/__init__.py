"""Stand-ins of the platform, its targets and whole instances, for tests."""
