"""Runs the generated tests with random examples for some minutes.

Each round has its own hypothesis seed, counted up from --seed. A failure prints
the seed of its round, which repeats it:

    QUETZALGAUGE_SOAK_FACTOR=5 pytest --hypothesis-seed=SEED TEST
"""

import argparse
import os
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
_FACTOR = 5


def _find_tests() -> list[str]:
    """Returns the test files that use `hypothesis_settings`."""
    return sorted(
        str(path)
        for path in (ROOT / "tests").glob("test_*.py")
        if "hypothesis_settings.make(" in path.read_text(encoding="utf-8")
    )


def _run_round(seed: int, tests: list[str], workers: int) -> bool:
    environment = {**os.environ, "QUETZALGAUGE_SOAK_FACTOR": str(_FACTOR)}
    command = [
        sys.executable,
        "-m",
        "pytest",
        f"--hypothesis-seed={seed}",
        "-n",
        str(workers),
        "--timeout=600",
        *tests,
    ]
    result = subprocess.run(command, cwd=ROOT, env=environment, check=False)
    return result.returncode == 0


def main() -> int:
    """Runs rounds until the time is over or one fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--workers", type=int, default=4)
    arguments = parser.parse_args()
    tests = _find_tests()
    end = time.monotonic() + 60 * arguments.minutes
    seed = arguments.seed
    while time.monotonic() < end:
        print(f"seed {seed}", flush=True)
        if not _run_round(seed, tests, arguments.workers):
            print(f"failed with seed {seed}")
            return 1
        seed += 1
    print(f"{seed - arguments.seed} rounds passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
