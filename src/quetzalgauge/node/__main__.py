"""Runs an instance with the settings file that the platform passes."""

import os
import pathlib
import signal
import sys
import traceback

# Until there is a handler, a reload is not needed, but would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from quetzalgauge.node import process  # noqa: E402
from quetzalgauge.platform import ingress  # noqa: E402


def main() -> None:
    """Runs the instance and exits with its exit status."""
    path = os.environ.get(ingress.SETTINGS_VARIABLE)
    if not path:
        print(f"{ingress.SETTINGS_VARIABLE} is not set", file=sys.stderr)
        sys.exit(process.EXIT_USAGE)
    status = process.EXIT_FAILED
    try:
        status = process.run(pathlib.Path(path))
    except BaseException:
        traceback.print_exc()
    finally:
        # A normal exit would wait for worker threads that have no callers left,
        # and for the reader of the log.
        os._exit(status)


if __name__ == "__main__":
    main()
