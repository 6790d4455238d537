"""Prints how fast bad prompt parts are known, and how often sound ones seem so.

Usage: quarantine_report.py [SEEDS [HOURS]]

SEEDS is the number of seeds for bad parts, HOURS that for sound ones.
"""

import sys

from quetzalgauge.emulation import quarantine


def main() -> None:
    """Prints the tables."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    hours = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    print("A part that crashes each target:\n")
    print(quarantine.format_bad_parts(range(seeds)))
    print("\nA sound part, while targets crash for other reasons:\n")
    print(quarantine.format_sound_parts(range(hours)))


if __name__ == "__main__":
    main()
