"""Compares placement policies; writes docs/policy.md and docs/policy.svg.

Emulates the standard day of each deployment with each policy. The emulator
runs the core of the instances.
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
    """Result of one placement policy on one deployment, mean over the seeds.

    Attributes:
        deployment: Name of the deployment.
        policy: Name of the policy.
        value_share: Earned value as a share of the possible value.
        in_time: Share of requests served within the target latency, by kind
            of request and by availability zone.
        refused: Share of requests that were not served.
        store_loads: Loads from the weight store.
    """

    deployment: str
    policy: str
    value_share: float
    in_time: dict[str, float]
    refused: float
    store_loads: float


def _run_job(job: tuple[int, str, int]) -> run.Result:
    deployment_index, policy, seed = job
    result = run.run_day(
        DEPLOYMENTS[deployment_index],
        run.STANDARD_DAY,
        seed,
        ways.POLICIES[policy],
    )
    result.logged_events.clear()
    return result


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _make_row(
    deployment_index: int, policy: str, results: list[run.Result]
) -> Row:
    shares: dict[str, float] = {}
    for attribute in ("tallies", "zones"):
        for name in sorted(getattr(results[0], attribute)):
            shares[name] = _mean(
                [
                    tally.in_time / tally.request_count
                    for result in results
                    if (tally := getattr(result, attribute).get(name))
                ]
            )
    return Row(
        DEPLOYMENTS[deployment_index].name,
        policy,
        _mean([result.value_share for result in results]),
        shares,
        _mean(
            [
                sum(tally.refused for tally in result.tallies.values())
                / sum(tally.request_count for tally in result.tallies.values())
                for result in results
            ]
        ),
        _mean([float(result.store_loads) for result in results]),
    )


def _format_tables(rows: list[Row]) -> list[str]:
    lines = []
    for name in dict.fromkeys(row.deployment for row in rows):
        selected = [row for row in rows if row.deployment == name]
        groups = list(selected[0].in_time)
        lines += [
            f"## {name}",
            "",
            f"| way | worth | {' | '.join(groups)} | refused | store loads |",
            "| --- " * (len(groups) + 4) + "|",
        ]
        lines += [
            f"| {row.policy} | {row.value_share:.3f} |"
            + "".join(f" {row.in_time[group]:.3f} |" for group in groups)
            + f" {row.refused:.3f} | {row.store_loads:.0f} |"
            for row in selected
        ]
        lines.append("")
    return lines


def _plot(rows: list[Row]) -> None:
    figure, axes = plt.subplots(1, len(DEPLOYMENTS), figsize=(11, 4))
    for axis, deployment in zip(axes, DEPLOYMENTS, strict=True):
        selected = [row for row in rows if row.deployment == deployment.name]
        groups = list(selected[0].in_time)
        width = 0.8 / len(selected)
        for position, row in enumerate(selected):
            axis.bar(
                [index + position * width for index in range(len(groups))],
                [row.in_time[group] for group in groups],
                width,
                label=row.policy,
            )
        axis.set_xticks(
            [index + 0.4 - width / 2 for index in range(len(groups))],
            groups,
            rotation=45,
            ha="right",
        )
        axis.set_ylim(0, 1)
        axis.set_title(deployment.name)
        axis.set_ylabel("share served within the aim")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(DOCS / "policy.svg", metadata={"Date": None})


def main() -> int:
    """Emulates all days and writes the page and the plot."""
    jobs = [
        (index, policy, seed)
        for index in range(len(DEPLOYMENTS))
        for policy in ways.POLICIES
        for seed in SEEDS
    ]
    with concurrent.futures.ProcessPoolExecutor(3) as pool:
        results = dict(zip(jobs, pool.map(_run_job, jobs), strict=True))
    rows = [
        _make_row(index, policy, [results[(index, policy, s)] for s in SEEDS])
        for index in range(len(DEPLOYMENTS))
        for policy in ways.POLICIES
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
