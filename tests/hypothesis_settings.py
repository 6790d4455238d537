"""Hypothesis settings: fixed examples in CI, random ones in a soak run."""

import os

import hypothesis

# Set by tools/soak.py together with a seed.
_SOAK_FACTOR = int(os.environ.get("QUETZALGAUGE_SOAK_FACTOR", "0"))
_DEFAULT_MAX_EXAMPLES = 100


def make_settings(**options):
    """Returns Hypothesis settings with the given options.

    Outside of a soak run the examples are the same in each run, so that results
    in CI are reproducible. In a soak run they are drawn from the run's seed.
    """
    options.setdefault("deadline", None)
    options.setdefault("max_examples", _DEFAULT_MAX_EXAMPLES)
    options.pop("derandomize", None)
    if not _SOAK_FACTOR:
        return hypothesis.settings(derandomize=True, **options)
    options["max_examples"] *= _SOAK_FACTOR
    return hypothesis.settings(derandomize=False, database=None, **options)
