"""Starts an instance with the settings file that the platform names."""

import os
import pathlib
import sys

from quetzalgauge.node import process
from quetzalgauge.platform import ingress


def main() -> None:
    """Runs the instance and exits with its status."""
    path = os.environ.get(ingress.SETTINGS_VARIABLE)
    if not path:
        print(f"{ingress.SETTINGS_VARIABLE} is not set", file=sys.stderr)
        sys.exit(process.EXIT_USAGE)
    status = process.run(pathlib.Path(path))
    sys.stdout.flush()
    # A normal exit would wait for threads that serve nobody any more.
    os._exit(status)


if __name__ == "__main__":
    main()
