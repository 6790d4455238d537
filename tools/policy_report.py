"""Compares ways to place models; writes docs/policy.md and docs/policy.svg.

Plays the standard day of each deployment on the emulator, which drives the
decision core of the instances.
"""

import concurrent.futures
import dataclasses
import pathlib
import sys

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt  # noqa: E402

from quetzalgauge.emulation import deployments  # noqa: E402
from quetzalgauge.emulation import run  # noqa: E402
from quetzalgauge.emulation import ways  # noqa: E402

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
DEPLOYMENTS = (deployments.FERREIRA, deployments.ALLIANCE)
SEEDS = (1, 2, 3)


@dataclasses.dataclass(frozen=True)
class Row:
    """One way on one deployment; shares are means over the seeds."""

    deployment: str
    policy: str
    value_share: float
    in_time: dict[str, float]
    refused: float
    store_loads: float


def _run_job(job: tuple[int, str, int]) -> run.Result:
    number, way, seed = job
    result = run.run_day(
        DEPLOYMENTS[number], run.STANDARD, seed, ways.POLICIES[way]
    )
    result.logged_events.clear()
    return result


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _make_row(
    deployment_index: int, policy: str, results: list[run.Result]
) -> Row:
    shares: dict[str, float] = {}
    for part in ("tallies", "zones"):
        for name in sorted(getattr(results[0], part)):
            shares[name] = _mean(
                [
                    tally.in_time / tally.request_count
                    for one in results
                    if (tally := getattr(one, part).get(name))
                ]
            )
    return Row(
        DEPLOYMENTS[deployment_index].name,
        policy,
        _mean([one.value_share for one in results]),
        shares,
        _mean(
            [
                sum(tally.refused for tally in one.tallies.values())
                / sum(tally.request_count for tally in one.tallies.values())
                for one in results
            ]
        ),
        _mean([float(one.store_loads) for one in results]),
    )


def _format_tables(rows: list[Row]) -> list[str]:
    lines = []
    for name in dict.fromkeys(row.deployment for row in rows):
        own = [row for row in rows if row.deployment == name]
        parts = list(own[0].in_time)
        lines += [
            f"## {name}",
            "",
            f"| way | worth | {' | '.join(parts)} | refused | store loads |",
            "| --- " * (len(parts) + 4) + "|",
        ]
        lines += [
            f"| {row.policy} | {row.value_share:.3f} |"
            + "".join(f" {row.in_time[part]:.3f} |" for part in parts)
            + f" {row.refused:.3f} | {row.store_loads:.0f} |"
            for row in own
        ]
        lines.append("")
    return lines


def _plot(rows: list[Row]) -> None:
    figure, axes = plt.subplots(1, len(DEPLOYMENTS), figsize=(11, 4))
    for axis, one in zip(axes, DEPLOYMENTS, strict=True):
        own = [row for row in rows if row.deployment == one.name]
        parts = list(own[0].in_time)
        width = 0.8 / len(own)
        for place, row in enumerate(own):
            axis.bar(
                [index + place * width for index in range(len(parts))],
                [row.in_time[part] for part in parts],
                width,
                label=row.policy,
            )
        axis.set_xticks(
            [index + 0.4 - width / 2 for index in range(len(parts))],
            parts,
            rotation=45,
            ha="right",
        )
        axis.set_ylim(0, 1)
        axis.set_title(one.name)
        axis.set_ylabel("share served within the aim")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(DOCS / "policy.svg", metadata={"Date": None})


def main() -> int:
    """Plays all days and writes the page."""
    jobs = [
        (number, way, seed)
        for number in range(len(DEPLOYMENTS))
        for way in ways.POLICIES
        for seed in SEEDS
    ]
    with concurrent.futures.ProcessPoolExecutor(3) as pool:
        results = dict(zip(jobs, pool.map(_run_job, jobs), strict=True))
    rows = [
        _make_row(number, way, [results[(number, way, s)] for s in SEEDS])
        for number in range(len(DEPLOYMENTS))
        for way in ways.POLICIES
    ]
    page = [
        "# Ways to place models",
        "",
        "Written by `make report`; don't edit it by hand. Shares of requests"
        " served within their aim, by kind and by availability zone of the"
        f" callers, on the emulated standard day, mean of seeds {SEEDS}."
        " `quetzalgauge.emulation.ways` has the ways; instances use the"
        " first.",
        "",
        *_format_tables(rows),
        "![Shares](policy.svg)",
    ]
    (DOCS / "policy.md").write_text("\n".join(page) + "\n")
    _plot(rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())
