"""Emulates evidence and trials of one prompt part without a whole deployment.

The instances run `core.prompt_quarantine`, one of them also the arbiter of
`core.prompt_trials`; targets only begin responses or end. Evidence and grants
reach other instances after a fixed delay.
"""

from collections.abc import Sequence
import dataclasses
import statistics

from quetzalgauge import ids
from quetzalgauge.core import prompt_quarantine
from quetzalgauge.core import prompt_trials
from quetzalgauge.emulation import event_loop

PART = ids.PromptPart("part")
MODEL = "m0"
INSTANCE_COUNT = 4
TARGET_COUNT = 6
MESSAGE_DELAY_S = 0.05
# Time from the arrival of a request to its response or its crash.
MIN_FIRST_BYTE_S = 0.1
MAX_FIRST_BYTE_S = 0.5
# A request waits for a trial for this time.
MAX_HELD_S = 5.0
MIN_DOWN_S = 3.0
MAX_DOWN_S = 5.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """What happened in one emulation.

    Attributes:
        end_times_s: When targets ended.
        known_at_s: When all instances had the part in quarantine first, None
            if never.
        quarantines_s: Start and end of each time in which the arbiter had the
            part in quarantine; the last one may not have ended.
        served: Requests whose response began.
        refused: Requests that were refused.
    """

    end_times_s: list[float] = dataclasses.field(default_factory=list)
    known_at_s: float | None = None
    quarantines_s: list[list[float]] = dataclasses.field(default_factory=list)
    served: int = 0
    refused: int = 0


class _Instance:
    def __init__(self, number: int) -> None:
        self.name = ids.InstanceId(f"qg-{number}")
        self.quarantine = prompt_quarantine.Quarantine()
        self.held: dict[int, float] = {}
        self.running_trials: set[int] = set()


class _Emulation:
    def __init__(self, seed: int, is_bad: bool) -> None:
        self.loop = event_loop.EventLoop(seed)
        self.outcome = Outcome()
        self._is_bad = is_bad
        self._instances = [
            _Instance(number) for number in range(INSTANCE_COUNT)
        ]
        self._arbiter = prompt_trials.TrialArbiter()
        self._incarnations = dict.fromkeys(range(TARGET_COUNT), 1)
        self._up = set(range(TARGET_COUNT))
        self._last_number = 0

    def arrive(self) -> None:
        """Lets a request with the part arrive at any instance."""
        self._last_number += 1
        self._admit(self.loop.rng.choice(self._instances), self._last_number)

    def arrive_at_rate(self, requests_per_s: float) -> None:
        """Lets requests with the part arrive from now on."""

        def arrive() -> None:
            self.arrive()
            self.loop.schedule_after(
                self.loop.rng.expovariate(requests_per_s), arrive
            )

        self.loop.schedule_after(
            self.loop.rng.expovariate(requests_per_s), arrive
        )

    def crash_at_rate(self, crashes_per_s: float, count: int) -> None:
        """Lets random targets end together for other reasons."""

        def crash() -> None:
            chosen = self.loop.rng.sample(range(TARGET_COUNT), count)
            for target in chosen:
                if target in self._up:
                    self._end_target(target)
            self.loop.schedule_after(
                self.loop.rng.expovariate(crashes_per_s), crash
            )

        self.loop.schedule_after(
            self.loop.rng.expovariate(crashes_per_s), crash
        )

    def _assess(self, instance: _Instance) -> prompt_quarantine.Status:
        assessment = instance.quarantine.assess((PART,), MODEL, self.loop.now)
        return assessment.status

    def _admit(self, instance: _Instance, number: int) -> None:
        match self._assess(instance):
            case prompt_quarantine.Status.CLEAR:
                self._send(instance, number, is_trial=False)
            case prompt_quarantine.Status.SUSPECT:
                instance.held[number] = self.loop.now_s
                self.loop.schedule_after(
                    MAX_HELD_S, lambda: self._refuse_held(instance, number)
                )
                self._report(instance)
            case prompt_quarantine.Status.QUARANTINED:
                self.outcome.refused += 1

    def _refuse_held(self, instance: _Instance, number: int) -> None:
        if instance.held.pop(number, None) is not None:
            self.outcome.refused += 1
            self._report(instance)

    def _send(self, instance: _Instance, number: int, is_trial: bool) -> None:
        if not self._up:
            self.loop.schedule_after(
                0.1, lambda: self._send(instance, number, is_trial)
            )
            return
        if is_trial:
            instance.running_trials.add(number)
        target = self.loop.rng.choice(sorted(self._up))
        incarnation = self._incarnations[target]
        self.loop.schedule_after(
            self.loop.rng.uniform(MIN_FIRST_BYTE_S, MAX_FIRST_BYTE_S),
            lambda: self._finish(
                instance, number, target, incarnation, is_trial
            ),
        )

    def _finish(
        self,
        instance: _Instance,
        number: int,
        target: int,
        incarnation: int,
        is_trial: bool,
    ) -> None:
        instance.running_trials.discard(number)
        has_ended = self._incarnations[target] != incarnation
        if self._is_bad and not has_ended:
            self._end_target(target)
            has_ended = True
        if has_ended:
            instance.quarantine.record_end(
                (PART,),
                MODEL,
                ids.TargetId(f"t{target}"),
                incarnation,
                frozenset({PART} if is_trial else ()),
                self.loop.now,
            )
        else:
            self.outcome.served += 1
            instance.quarantine.record_response((PART,), MODEL, self.loop.now)
        self._report(instance)
        self._reassess(instance)

    def _end_target(self, target: int) -> None:
        self.outcome.end_times_s.append(self.loop.now_s)
        self._incarnations[target] += 1
        self._up.discard(target)
        self.loop.schedule_after(
            self.loop.rng.uniform(MIN_DOWN_S, MAX_DOWN_S),
            lambda: self._up.add(target),
        )

    def _report(self, instance: _Instance) -> None:
        """Sends evidence and trial wishes to the arbiter."""
        evidence = instance.quarantine.export(self.loop.now)
        wishes = tuple(
            prompt_trials.TrialWish(
                number, MODEL, frozenset({PART}), is_running=True
            )
            for number in sorted(instance.running_trials)
        )
        if instance.held:
            number = min(instance.held)
            wishes += (
                prompt_trials.TrialWish(number, MODEL, frozenset({PART})),
            )
        self.loop.schedule_after(
            MESSAGE_DELAY_S,
            lambda: self._apply_report(instance, evidence, wishes),
        )

    def _apply_report(
        self,
        instance: _Instance,
        evidence: Sequence[prompt_quarantine.Evidence],
        wishes: tuple[prompt_trials.TrialWish, ...],
    ) -> None:
        leader = self._instances[0]
        has_changed = leader.quarantine.merge(evidence, self.loop.now)
        self._arbiter.apply_wishes(instance.name, wishes, self.loop.now)
        has_granted = self._arbiter.assign(
            lambda _: self._assess(leader) is prompt_quarantine.Status.SUSPECT,
            self.loop.now,
        )
        self._track_quarantine()
        if has_changed or has_granted or leader is instance:
            self._publish()

    def _publish(self) -> None:
        """Sends evidence and grants to all instances."""
        leader = self._instances[0]
        evidence = leader.quarantine.export(self.loop.now)
        grants = self._arbiter.list_grants(self.loop.now)
        for instance in self._instances:
            self.loop.schedule_after(
                MESSAGE_DELAY_S,
                lambda instance=instance: self._apply_update(  # type: ignore[misc]
                    instance, evidence, grants
                ),
            )

    def _apply_update(
        self,
        instance: _Instance,
        evidence: Sequence[prompt_quarantine.Evidence],
        grants: Sequence[prompt_trials.TrialGrant],
    ) -> None:
        instance.quarantine.merge(evidence, self.loop.now)
        if instance.quarantine.is_urgent:
            instance.quarantine.mark_reported()
            self._report(instance)
        for grant in grants:
            if (
                grant.instance == instance.name
                and instance.held.pop(grant.number, None) is not None
            ):
                self._send(instance, grant.number, is_trial=True)
                self._report(instance)
        self._reassess(instance)
        if self.outcome.known_at_s is None and all(
            self._assess(other) is prompt_quarantine.Status.QUARANTINED
            for other in self._instances
        ):
            self.outcome.known_at_s = self.loop.now_s

    def _reassess(self, instance: _Instance) -> None:
        """Sends or refuses held requests if the status has changed."""
        status = self._assess(instance)
        if status is prompt_quarantine.Status.SUSPECT:
            return
        for number in list(instance.held):
            del instance.held[number]
            if status is prompt_quarantine.Status.CLEAR:
                self._send(instance, number, is_trial=False)
            else:
                self.outcome.refused += 1

    def _track_quarantine(self) -> None:
        is_known = any(
            record["status"] == "quarantined"
            for record in self._instances[0].quarantine.dump(self.loop.now)
        )
        periods = self.outcome.quarantines_s
        is_open = bool(periods) and len(periods[-1]) == 1
        if is_known and not is_open:
            periods.append([self.loop.now_s])
        elif is_open and not is_known:
            periods[-1].append(self.loop.now_s)


def run_bad_part(
    seed: int, together: int, requests_per_s: float, duration_s: float = 55.0
) -> Outcome:
    """Emulates a part that crashes targets.

    Args:
        seed: Seed of the random number generator.
        together: Requests with the part that arrive together at the start.
        requests_per_s: Rate of the later ones.
        duration_s: Emulated seconds.
    """
    emulation = _Emulation(seed, is_bad=True)
    for _ in range(together):
        emulation.arrive()
    emulation.arrive_at_rate(requests_per_s)
    emulation.loop.run_until(duration_s)
    return emulation.outcome


def run_sound_part(
    seed: int,
    requests_per_s: float,
    crashes_per_min: float,
    crash_size: int = 1,
    duration_s: float = 3600.0,
) -> Outcome:
    """Emulates a sound part while targets crash for other reasons.

    Args:
        seed: Seed of the random number generator.
        requests_per_s: Rate of the requests with the part at all instances.
        crashes_per_min: Rate of the crashes.
        crash_size: Targets that crash together.
        duration_s: Emulated seconds.
    """
    emulation = _Emulation(seed, is_bad=False)
    emulation.arrive_at_rate(requests_per_s)
    emulation.crash_at_rate(crashes_per_min / 60, crash_size)
    emulation.loop.run_until(duration_s)
    return emulation.outcome


def format_bad_parts(seeds: Sequence[int]) -> str:
    """Returns a table of the targets that end until a part is known."""
    lines = [
        f"{len(seeds)} seeds, {INSTANCE_COUNT} instances,"
        f" {TARGET_COUNT} targets, then 4 requests with the part per second.",
        "",
        "| together | targets ended, mean | 90% | most | later than 3 s after"
        " the fifth | known after, median | most |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for together in (1, 3, 8):
        outcomes = [run_bad_part(seed, together, 4.0) for seed in seeds]
        counts = sorted(len(outcome.end_times_s) for outcome in outcomes)
        late = max(count_late_ends(outcome) for outcome in outcomes)
        known = [
            outcome.known_at_s
            for outcome in outcomes
            if outcome.known_at_s is not None
        ]
        lines.append(
            f"| {together} | {statistics.mean(counts):.2f}"
            f" | {counts[len(counts) * 9 // 10]} | {counts[-1]} | {late}"
            f" | {statistics.median(known):.1f} s | {max(known):.1f} s"
            f" ({len(known)} of {len(outcomes)}) |"
        )
    return "\n".join(lines)


def count_late_ends(outcome: Outcome) -> int:
    """Returns the targets that ended 3 s or more after the fifth one."""
    ends = outcome.end_times_s
    return sum(at > ends[4] + 3.0 for at in ends) if len(ends) > 4 else 0


def format_sound_parts(seeds: Sequence[int]) -> str:
    """Returns a table of the quarantines of a sound part."""
    lines = [
        f"{len(seeds)} seeds of one hour each.",
        "",
        "| requests/s | crashes/min | targets together | hours with a false"
        " quarantine | quarantines | lifted after, median | most | refused |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for crashes_per_min, size in (
        (0.5, 1),
        (6.0, 1),
        (60.0, 1),
        (1.0, 3),
        (6.0, 6),
        (60.0, 6),
    ):
        for requests_per_s in (0.05, 0.5, 5.0):
            outcomes = [
                run_sound_part(seed, requests_per_s, crashes_per_min, size)
                for seed in seeds
            ]
            periods = [
                period
                for outcome in outcomes
                for period in outcome.quarantines_s
            ]
            lengths = [end - start for start, *ends in periods for end in ends]
            total = sum(
                outcome.served + outcome.refused for outcome in outcomes
            )
            refused = sum(outcome.refused for outcome in outcomes)
            hours = sum(bool(outcome.quarantines_s) for outcome in outcomes)
            lines.append(
                f"| {requests_per_s} | {crashes_per_min} | {size}"
                f" | {hours} of {len(outcomes)} | {len(periods)}"
                + (
                    f" | {statistics.median(lengths):.0f} s"
                    f" | {max(lengths):.0f} s"
                    if lengths
                    else " | - | -"
                )
                + f" | {refused / max(1, total):.2%} |"
            )
    return "\n".join(lines)
