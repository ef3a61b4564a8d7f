"""Generates seeded workloads of requests and jobs per deployment."""

import collections.abc
import dataclasses
import math
import random

from _jasminewind import ids
from _jasminewind.messages import work

# The arrival rate changes this often, by one of the factors.
RATE_CHANGE_PERIOD_S = 0.5
RATE_FACTORS = (0.5, 1.0, 1.5)
MAX_JOB_TASKS = 110
MEAN_JOB_TASKS = 10
# Tasks up to this run time count as short.
MAX_SHORT_RUN_S = 1.0
# A request has a deadline of this many run times, at least the minimum.
MIN_DEADLINE_S = 2.0
DEADLINE_FACTOR = 4.0
JOB_DEADLINE_S = 30.0
# Declared run times are too long or too short by up to this factor.
MAX_DECLARED_ERROR_FACTOR = 5.0
UNDECLARED_SHARE = 0.2
EXACT_SHARE = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskKind:
    """Method of a kind of task, its share of all tasks and its run times.

    Run times in seconds at speed 1 are drawn from a log-uniform
    distribution from ``min_run_s`` to ``max_run_s``.
    """

    method: str
    share: float
    min_run_s: float
    max_run_s: float

    def mean_s(self) -> float:
        """Return the mean run time."""
        ratio = self.max_run_s / self.min_run_s
        return (self.max_run_s - self.min_run_s) / math.log(ratio)

    def sample_run_s(self, rng: random.Random) -> float:
        """Draw a run time."""
        ratio = self.max_run_s / self.min_run_s
        return self.min_run_s * ratio ** rng.random()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Profile:
    """Mix of tasks that the callers of one deployment submit."""

    service: str
    teams: tuple[str, ...]
    kinds: tuple[TaskKind, ...]

    def mean_s(self) -> float:
        """Return the mean run time of a task."""
        return sum(kind.share * kind.mean_s() for kind in self.kinds)

    def short_only(self) -> "Profile":
        """Return the profile without tasks longer than a second."""
        short_kinds = tuple(
            k for k in self.kinds if k.max_run_s <= MAX_SHORT_RUN_S
        )
        total_share = sum(kind.share for kind in short_kinds)
        return dataclasses.replace(
            self,
            kinds=tuple(
                dataclasses.replace(k, share=k.share / total_share)
                for k in short_kinds
            ),
        )

    def long_only(self) -> "Profile":
        """Return the profile with only its longest kind of task."""
        longest = max(self.kinds, key=lambda kind: kind.max_run_s)
        return dataclasses.replace(
            self, kinds=(dataclasses.replace(longest, share=1.0),)
        )


KARRI_CREEK = Profile(
    service="hutch-orders",
    teams=("crew-desk", "web-shop", "planning-office"),
    kinds=(
        TaskKind(
            method="stock-check", share=0.5, min_run_s=0.05, max_run_s=0.3
        ),
        TaskKind(method="quote", share=0.47, min_run_s=0.1, max_run_s=1.0),
        TaskKind(method="cut-list", share=0.025, min_run_s=2.0, max_run_s=4.0),
        TaskKind(method="cut-list", share=0.005, min_run_s=5.0, max_run_s=8.0),
    ),
)
FEDERATION = Profile(
    service="ledenloket",
    teams=("gent-haven", "mechelen", "brugge", "planning-office"),
    kinds=(
        TaskKind(
            method="check-tariff", share=0.5, min_run_s=0.05, max_run_s=0.3
        ),
        TaskKind(
            method="book-pallets", share=0.35, min_run_s=0.1, max_run_s=0.6
        ),
        TaskKind(
            method="allocate-stock", share=0.12, min_run_s=0.2, max_run_s=1.0
        ),
        TaskKind(
            method="allocate-stock",
            share=0.025,
            min_run_s=2.0,
            max_run_s=4.0,
        ),
        TaskKind(
            method="allocate-federation",
            share=0.005,
            min_run_s=5.0,
            max_run_s=8.0,
        ),
    ),
)
PROFILES = {"karri-creek": KARRI_CREEK, "federation": FEDERATION}


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskDemand:
    """A task with its true run time at speed 1 and its declared values."""

    name: str
    method: str
    run_s: float
    declared_s: float
    cores: float
    memory_mb: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Submission:
    """A job or a request to submit ``at_s`` seconds after the start."""

    at_s: float
    number: int
    id_bits: int
    kind: work.WorkKind
    team: str
    service: str
    deadline_s: float
    tasks: tuple[TaskDemand, ...]

    def work_id(self, wall_ms: int) -> str:
        """Return the id for a submission at ``wall_ms``."""
        return ids.new(wall_ms=wall_ms, rng=random.Random(self.id_bits))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Level:
    """Mean arrival rates over ``length_s`` seconds."""

    length_s: float
    requests_per_s: float
    jobs_per_s: float = 0.0
    is_rate_varied: bool = True


def generate(
    profile: Profile,
    levels: collections.abc.Iterable[Level],
    *,
    seed: int,
    long_until_s: float = math.inf,
    first_number: int = 0,
) -> list[Submission]:
    """Return the submissions of consecutive ``levels`` in order of time.

    Tasks longer than a second arrive only before ``long_until_s``, which
    bounds the time until all work has ended.
    """
    rng = random.Random(seed)
    submissions: list[Submission] = []
    start_s = 0.0
    for level in levels:
        for at_s, kind in arrivals(level, rng):
            submissions.append(
                submission(
                    profile,
                    rng=rng,
                    at_s=start_s + at_s,
                    kind=kind,
                    number=first_number + len(submissions),
                    is_long_allowed=start_s + at_s < long_until_s,
                )
            )
        start_s += level.length_s
    return submissions


def arrivals(
    level: Level, rng: random.Random
) -> list[tuple[float, work.WorkKind]]:
    """Draw the arrivals of a level as a Poisson process.

    The rate varies by interval; its mean is that of the level.
    """
    times = []
    for kind, rate in (
        (work.WorkKind.REQUEST, level.requests_per_s),
        (work.WorkKind.JOB, level.jobs_per_s),
    ):
        intervals = max(1, round(level.length_s / RATE_CHANGE_PERIOD_S))
        length_s = level.length_s / intervals
        factors = [
            RATE_FACTORS[i % len(RATE_FACTORS)] for i in range(intervals)
        ]
        rng.shuffle(factors)
        mean = sum(factors) / intervals
        for index, factor in enumerate(factors):
            rate_factor = factor / mean if level.is_rate_varied else 1.0
            at_s = 0.0
            while rate > 0.0:
                at_s += rng.expovariate(rate * rate_factor)
                if at_s >= length_s:
                    break
                times.append((index * length_s + at_s, kind))
    return sorted(times)


def submission(
    profile: Profile,
    *,
    rng: random.Random,
    at_s: float,
    kind: work.WorkKind,
    number: int,
    is_long_allowed: bool,
) -> Submission:
    """Draw one submission."""
    count = 1
    if kind is work.WorkKind.JOB:
        count = 1 + int(rng.expovariate(1.0 / (MEAN_JOB_TASKS - 1)))
        count = min(count, MAX_JOB_TASKS)
    tasks = tuple(
        task(profile, rng, f"t{index}", is_long_allowed=is_long_allowed)
        for index in range(count)
    )
    deadline_s = JOB_DEADLINE_S
    if kind is work.WorkKind.REQUEST:
        deadline_s = max(MIN_DEADLINE_S, DEADLINE_FACTOR * tasks[0].run_s)
    return Submission(
        at_s=at_s,
        number=number,
        id_bits=rng.getrandbits(64),
        kind=kind,
        team=rng.choice(profile.teams),
        service=profile.service,
        deadline_s=deadline_s,
        tasks=tasks,
    )


def task(
    profile: Profile, rng: random.Random, name: str, *, is_long_allowed: bool
) -> TaskDemand:
    """Draw one task, its kind weighted by the shares of the profile."""
    kinds = profile.kinds
    if not is_long_allowed and kinds[0].max_run_s <= MAX_SHORT_RUN_S:
        kinds = profile.short_only().kinds
    weights = [kind.share for kind in kinds]
    kind = rng.choices(kinds, weights)[0]
    run_s = round(kind.sample_run_s(rng), 4)
    return TaskDemand(
        name=name,
        method=kind.method,
        run_s=run_s,
        declared_s=declared_s(run_s, rng),
        cores=rng.choice((0.5, 1.0, 1.0, 2.0)),
        memory_mb=rng.choice((128.0, 256.0, 512.0)),
    )


def declared_s(run_s: float, rng: random.Random) -> float:
    """Draw the declared run time: 0 for none, exact or inaccurate."""
    draw = rng.random()
    if draw < UNDECLARED_SHARE:
        return 0.0
    if draw < UNDECLARED_SHARE + EXACT_SHARE:
        return run_s
    error = MAX_DECLARED_ERROR_FACTOR ** rng.uniform(-1.0, 1.0)
    return round(run_s * error, 4)
