"""Names by which the platform starts and probes an instance."""

# Readiness probe: 200 while the instance accepts new callers.
READY_PATH = "/ready"
# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "QUETZALGAUGE_SETTINGS"
