"""Measures cold starts against idle accelerator hours, for both users.

Replays one trace under the naive policy with several idle limits and under
the control core with several values of cold_start_weight. Writes the table
docs/policy.md and the plot docs/policy.svg.
"""

import argparse
import concurrent.futures
import dataclasses
import datetime
import pathlib
import random
import sys

from quetzalgauge import corepolicy
from quetzalgauge import emulator
from quetzalgauge import ids
from quetzalgauge import naive
from quetzalgauge import traces

ROOT = pathlib.Path(__file__).resolve().parent.parent
_GIB = 1 << 30
_MODEL_SIZES_GIB = (8, 12, 16, 20)
_IDLE_LIMITS_S = (30, 120, 300, 900, 3600)
_WEIGHTS = (10.0, 30.0, 100.0)
# What the example settings of each deployment choose.
_CHOSEN = {"ferreira": 100.0, "alliance": 30.0}
_SEED = 1


@dataclasses.dataclass(frozen=True)
class Job:
    """One run."""

    deployment: str
    policy: str
    parameter: float
    hours: float
    slow_store: bool
    disk_gib: int = 96


@dataclasses.dataclass(frozen=True)
class Row:
    """What one run measured; times in seconds."""

    job: Job
    cold_p95: float
    cold_p99: float
    wait_p99: float
    idle_hours: float
    cold_requests: int
    requests: int
    unserved: int
    loads: dict[str, int]


def _workload(deployment: str) -> traces.Workload:
    if deployment == "ferreira":
        return traces.ferreira_workload()
    return traces.alliance_workload()


def _make_site(deployment: str, workload: traces.Workload) -> emulator.Site:
    region = {"ferreira": "uy-south", "alliance": "tx-central"}[deployment]
    zones = [ids.AvailabilityZone(f"{region}-{name}") for name in "abc"]
    generator = random.Random(_SEED)
    return emulator.Site(
        zones=zones,
        region=ids.Region(region),
        targets=[zone for zone in zones for _ in range(2)],
        entries=[zones[0], zones[0], zones[1], zones[2]],
        models=[
            emulator.ModelSpec(name, generator.choice(_MODEL_SIZES_GIB) * _GIB)
            for name in workload.models
        ],
    )


def _fill_caches(world: emulator.World) -> None:
    """Puts every other model on the disk of one random target."""
    generator = random.Random(_SEED)
    engines = list(world.engines.values())
    for spec in world.site.models[::2]:
        generator.choice(engines).fill_disk(spec)


def run(job: Job) -> Row:
    """Runs one job."""
    workload = _workload(job.deployment)
    length = datetime.timedelta(hours=job.hours)
    trace = traces.generate(workload, length, _SEED)
    site = _make_site(job.deployment, workload)
    site = dataclasses.replace(site, disk_cache_bytes=job.disk_gib * _GIB)
    world = emulator.World(site)
    _fill_caches(world)
    if job.slow_store:
        world.clock.call_at(length / 4, lambda: _slow_down(world, 4.0))
        world.clock.call_at(length / 2, lambda: _slow_down(world, 1.0))
    if job.policy == "naive":
        limit = datetime.timedelta(seconds=job.parameter)
        naive.make_naive_policy(limit, _SEED)(world)
    else:
        corepolicy.make_core_policy(job.parameter, _SEED)(world)
    result = world.run(trace, length)
    return Row(
        job=job,
        cold_p95=result.cold_start_percentile(95).total_seconds(),
        cold_p99=result.cold_start_percentile(99).total_seconds(),
        wait_p99=result.wait_percentile(99).total_seconds(),
        idle_hours=result.idle_accelerator_hours,
        cold_requests=sum(wait.was_cold for wait in result.waits),
        requests=len(trace),
        unserved=result.unserved,
        loads={tier.value: count for tier, count in result.loads.items()},
    )


def _slow_down(world: emulator.World, factor: float) -> None:
    world.store.slow_factor = factor


def _make_jobs(hours: float) -> list[Job]:
    jobs = []
    for deployment in ("ferreira", "alliance"):
        for slow_store in (False, True):
            for weight in _WEIGHTS:
                jobs.append(Job(deployment, "core", weight, hours, slow_store))
            for limit in _IDLE_LIMITS_S:
                jobs.append(Job(deployment, "naive", limit, hours, slow_store))
    return jobs


def _interpolate(points: list[tuple[float, float]], x: float) -> float | None:
    """Returns y at x on the line through the points, None outside it."""
    points = sorted(points)
    for (x1, y1), (x2, y2) in zip(points, points[1:], strict=False):
        if x1 <= x <= x2:
            if x1 == x2:
                return min(y1, y2)
            return y1 + (y2 - y1) * (x - x1) / (x2 - x1)
    return None


def _compare(rows: list[Row], deployment: str, slow_store: bool) -> list[str]:
    """States p99 at equal idle hours, for the chosen weight."""
    own = [
        row
        for row in rows
        if row.job.deployment == deployment and row.job.slow_store == slow_store
    ]
    naive_rows = [row for row in own if row.job.policy == "naive"]
    chosen = next(
        row
        for row in own
        if row.job.policy == "core" and row.job.parameter == _CHOSEN[deployment]
    )
    p99 = _interpolate(
        [(row.idle_hours, row.cold_p99) for row in naive_rows],
        chosen.idle_hours,
    )
    name = f"{deployment}, slow store {'on' if slow_store else 'off'}"
    if p99 is None:
        lowest = min(naive_rows, key=lambda row: row.idle_hours)
        return [
            f"- {name}: the chosen point has {chosen.idle_hours:.1f} idle"
            f" hours, below the naive policy's least"
            f" ({lowest.idle_hours:.1f}), and p99 {chosen.cold_p99:.1f} s"
            f" against {lowest.cold_p99:.1f} s."
        ]
    idle = _interpolate(
        [(row.cold_p99, row.idle_hours) for row in naive_rows], chosen.cold_p99
    )
    lines = []
    if idle is None:
        least = min(row.cold_p99 for row in naive_rows)
        lines.append(
            f"- {name}: no idle limit of the naive policy reaches a p99 of"
            f" {chosen.cold_p99:.1f} s; its least is {least:.1f} s."
        )
    else:
        lines.append(
            f"- {name}: at a p99 of {chosen.cold_p99:.1f} s idle hours are"
            f" {chosen.idle_hours:.1f} against {idle:.1f} of the naive policy"
            f" (ratio {chosen.idle_hours / idle:.2f})."
        )
    return [
        *lines,
        f"- {name}: at {chosen.idle_hours:.1f} idle hours p99 is"
        f" {chosen.cold_p99:.1f} s against {p99:.1f} s of the naive policy"
        f" (ratio {chosen.cold_p99 / p99:.2f}).",
    ]


def write_page(rows: list[Row], hours: float, path: pathlib.Path) -> None:
    """Writes the table and the comparison."""
    lines = [
        "# Cold starts against idle accelerator hours",
        "",
        f"Written by `make report` (trace of {hours:g} hours, seed {_SEED});"
        " don't edit it by hand. Cold: a request that arrives while no replica"
        " of its model is ready. Idle: accelerator time held by replicas with"
        " no request running. Slow store: a quarter of the trace with the"
        " weight store at a quarter of its speed.",
        "",
        "| deployment | store | policy | parameter | cold p95 s | cold p99 s |"
        " all p99 s | idle h | cold | requests | unserved | loads |",
        "| --- " * 12 + "|",
    ]
    for row in rows:
        job = row.job
        unit = "weight" if job.policy == "core" else "idle limit s"
        loads = ", ".join(f"{k} {v}" for k, v in sorted(row.loads.items()))
        store = "slow" if job.slow_store else "normal"
        lines.append(
            f"| {job.deployment} | {store} | {job.policy} |"
            f" {unit} {job.parameter:g} | {row.cold_p95:.1f} |"
            f" {row.cold_p99:.1f} | {row.wait_p99:.1f} |"
            f" {row.idle_hours:.1f} | {row.cold_requests} | {row.requests} |"
            f" {row.unserved} | {loads} |"
        )
    lines += ["", "## Chosen points", ""]
    for deployment, weight in _CHOSEN.items():
        lines.append(f"`cold_start_weight` of {deployment}: {weight:g}.")
    lines.append("")
    for deployment in _CHOSEN:
        for slow_store in (False, True):
            lines += _compare(rows, deployment, slow_store)
    lines += ["", "![Curve](policy.svg)"]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def write_plot(rows: list[Row], path: pathlib.Path) -> None:
    """Writes the curve of both policies for both deployments."""
    import matplotlib

    matplotlib.use("svg")
    # Fixed ids make equal plots equal files.
    matplotlib.rcParams["svg.hashsalt"] = "quetzalgauge"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    for axis, deployment in zip(axes, _CHOSEN, strict=True):
        for policy in ("naive", "core"):
            points = sorted(
                (row.idle_hours, row.cold_p99, row.job.parameter)
                for row in rows
                if row.job.deployment == deployment
                and row.job.policy == policy
                and not row.job.slow_store
            )
            axis.plot(
                [point[0] for point in points],
                [point[1] for point in points],
                marker="o",
                label=policy,
            )
            for idle, p99, parameter in points:
                if policy == "core" and parameter == _CHOSEN[deployment]:
                    axis.annotate("chosen", (idle, p99))
        axis.set_title(deployment)
        axis.set_xlabel("idle accelerator hours")
        axis.set_ylabel("cold start p99, s")
        axis.set_ylim(bottom=0)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main() -> int:
    """Runs all jobs; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hours", type=float, default=12.0)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--out", type=pathlib.Path, default=ROOT / "docs")
    parser.add_argument("--disk-gib", type=int, default=96)
    arguments = parser.parse_args()
    jobs = [
        dataclasses.replace(job, disk_gib=arguments.disk_gib)
        for job in _make_jobs(arguments.hours)
    ]
    with concurrent.futures.ProcessPoolExecutor(arguments.workers) as pool:
        rows = list(pool.map(run, jobs))
    write_page(rows, arguments.hours, arguments.out / "policy.md")
    write_plot(rows, arguments.out / "policy.svg")
    return 0


if __name__ == "__main__":
    sys.exit(main())
