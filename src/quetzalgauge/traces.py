"""Request traces with a fixed seed: bursts to models that are mostly idle.

A trace is a list of requests in order of arrival. Each model has sessions: a
session is a burst of requests that arrives at every entry instance within
seconds, with quiet hours before and after it. The rate of sessions follows an
hourly profile.
"""

from collections.abc import Sequence
import dataclasses
import datetime
import random

from quetzalgauge import ids

_HOUR = datetime.timedelta(hours=1)
_HOURS_PER_DAY = 24

# Sessions per hour relative to the day's mean. Race day: birds arrive from
# late morning on, summaries run overnight.
RACE_DAY_PROFILE = (
    0.6,
    0.9,
    0.9,
    0.6,
    0.2,
    0.1,
    0.2,
    0.4,
    0.7,
    1.2,
    1.9,
    2.4,
) + (2.6, 2.5, 2.3, 2.0, 1.6, 1.1, 0.7, 0.4, 0.3, 0.2, 0.3, 0.5)
# Callers wait on hold in the morning; caseworkers' summaries come at night.
APPOINTMENT_PROFILE = (
    0.1,
    0.1,
    0.1,
    0.1,
    0.1,
    0.2,
    0.6,
    1.8,
    3.0,
    2.8,
    2.2,
    1.5,
) + (1.0, 1.1, 1.2, 1.0, 0.8, 0.9, 1.4, 1.6, 1.2, 0.7, 0.3, 0.2)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a trace.

    Attributes:
        arrival: Time since the start of the trace.
        model: The model it names.
        entry: Index of the entry instance that receives it.
        service: How long a replica works on it.
    """

    arrival: datetime.timedelta
    model: ids.ModelName
    entry: int
    service: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Parameters of a trace.

    Attributes:
        models: Models, most used first.
        entries: Number of entry instances.
        profile: Relative rate of sessions for each hour of the day.
        sessions_per_day: Sessions a day over all models.
        popularity_exponent: Exponent of the Zipf law of the models' use.
        requests_per_session: Mean number of requests in a session.
        session_spread: Time within which most of a session arrives.
        mean_service: Mean time that a replica works on a request.
    """

    models: Sequence[ids.ModelName]
    entries: int
    profile: Sequence[float]
    sessions_per_day: float
    popularity_exponent: float
    requests_per_session: float
    session_spread: datetime.timedelta
    mean_service: datetime.timedelta


def ferreira_workload() -> Workload:
    """Returns the race-day workload: 40 models, 4 entry instances."""
    return Workload(
        models=[ids.ModelName(f"palomar-{n:02d}") for n in range(40)],
        entries=4,
        profile=RACE_DAY_PROFILE,
        sessions_per_day=900,
        popularity_exponent=0.8,
        requests_per_session=9,
        session_spread=datetime.timedelta(seconds=40),
        mean_service=datetime.timedelta(seconds=6),
    )


def alliance_workload() -> Workload:
    """Returns the appointment-desk workload: 20 models, 4 entry instances."""
    return Workload(
        models=[ids.ModelName(f"triage-{n:02d}") for n in range(20)],
        entries=4,
        profile=APPOINTMENT_PROFILE,
        sessions_per_day=320,
        popularity_exponent=0.9,
        requests_per_session=7,
        session_spread=datetime.timedelta(seconds=60),
        mean_service=datetime.timedelta(seconds=8),
    )


def generate(
    workload: Workload, length: datetime.timedelta, seed: int
) -> list[Request]:
    """Returns a trace in order of arrival; equal seeds give equal traces."""
    generator = random.Random(seed)
    weights = [
        1 / (rank + 1) ** workload.popularity_exponent
        for rank in range(len(workload.models))
    ]
    requests: list[Request] = []
    for start in _session_starts(workload, length, generator):
        model = generator.choices(workload.models, weights)[0]
        requests.extend(_session(workload, model, start, generator))
    requests.sort(key=lambda request: (request.arrival, request.model))
    return [request for request in requests if request.arrival < length]


def _session_starts(
    workload: Workload, length: datetime.timedelta, generator: random.Random
) -> list[datetime.timedelta]:
    """Draws session starts from a Poisson process, by thinning."""
    mean_rate = workload.sessions_per_day / (_HOURS_PER_DAY * 3600)
    scale = sum(workload.profile) / len(workload.profile)
    peak = max(workload.profile) / scale
    starts: list[datetime.timedelta] = []
    now = datetime.timedelta()
    while True:
        gap = generator.expovariate(mean_rate * peak)
        now += datetime.timedelta(seconds=gap)
        if now >= length:
            return starts
        hour = int(now / _HOUR) % _HOURS_PER_DAY
        if generator.random() * peak < workload.profile[hour] / scale:
            starts.append(now)


def _session(
    workload: Workload,
    model: ids.ModelName,
    start: datetime.timedelta,
    generator: random.Random,
) -> list[Request]:
    # The number of requests is geometric, so that a few sessions are large.
    count = 1
    while generator.random() > 1 / workload.requests_per_session:
        count += 1
    requests = []
    for index in range(count):
        delay = 0.0
        if index > 0:
            delay = generator.expovariate(
                1 / workload.session_spread.total_seconds()
            )
        service = generator.expovariate(
            1 / workload.mean_service.total_seconds()
        )
        requests.append(
            Request(
                arrival=start + datetime.timedelta(seconds=delay),
                model=model,
                entry=generator.randrange(workload.entries),
                service=datetime.timedelta(seconds=service),
            )
        )
    return requests
