"""Stand-ins and settings for the scripts of the second review."""
