"""Prints the processor time of placement decisions at growing sizes.

A pass of a zone leader makes several decisions. The first one collects facts
about all models, the next ones reuse them.
"""

import dataclasses
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tests"))

import test_core_placement
import test_core_placement_scale

from quetzalgauge.core import placement

TARGET_COUNTS = (3, 10, 25, 75, 300)
MODEL_COUNTS = (100, 500, 1500)
MIN_SECONDS = 0.5


def measure(context, allow_prefetch, keep_facts):
    """Returns the processor time of one decision in milliseconds."""
    count = 0
    started_at = time.process_time()
    while (elapsed := time.process_time() - started_at) < MIN_SECONDS:
        current = context
        if not keep_facts:
            current = dataclasses.replace(context, facts=None)
        placement.choose_placement(
            current, test_core_placement.NOW, allow_prefetch
        )
        count += 1
    return elapsed / count * 1000


def main():
    """Prints one row for each size."""
    print("Milliseconds of processor time; prefetch: all models are candidates")
    print("| targets | models | first | next | first, prefetch | next |")
    print("| --- | --- | --- | --- | --- | --- |")
    for target_count in TARGET_COUNTS:
        for model_count in MODEL_COUNTS:
            context = test_core_placement_scale.make_random_context(
                random.Random(1), target_count, model_count
            )
            times = [
                f"{measure(context, allow_prefetch, keep_facts):.2f}"
                for allow_prefetch in (False, True)
                for keep_facts in (False, True)
            ]
            row = [str(target_count), str(model_count), *times]
            print(f"| {' | '.join(row)} |", flush=True)


if __name__ == "__main__":
    main()
