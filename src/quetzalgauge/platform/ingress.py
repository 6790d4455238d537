"""What the platform asks of an instance to decide on its traffic."""

# Answered with 200 while new callers are welcome.
READY_PATH = "/ready"
# The variable that holds the path of the settings file.
SETTINGS_VARIABLE = "QUETZALGAUGE_SETTINGS"
