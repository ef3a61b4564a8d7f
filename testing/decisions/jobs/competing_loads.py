"""Loads of queues that compete for the capacity of a simulated cluster."""

import collections
import dataclasses
import math
import random

from _jasminewind.decisions.jobs import specs
from testing.decisions.jobs import cluster as clusters
from testing.decisions.jobs import loads

CORES_PER_TASK = 1.5
# How much longer than their own work callers wait.
CALLER_PATIENCE_S = 1.55
LATE_WORTH = 0.2
# Callers that are refused give up after this many submissions.
MAX_ATTEMPTS = 4
# When a caller that ignores Retry-After returns, and a round trip.
AT_ONCE_S = 0.2
ROUND_TRIP_S = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of job with a queue of its own; ``per_s`` is relative."""

    name: str
    count: int
    work_s: float
    per_s: float
    value: float
    priority: int = 0

    @property
    def core_s(self):
        """Return the mean core-seconds of a job."""
        return self.count * self.work_s * CORES_PER_TASK


SHORT = Kind(name="short", count=8, work_s=0.12, per_s=103.0, value=0.00485)
LONG = Kind(
    name="long", count=4, work_s=1.8, per_s=18.8, value=0.0267, priority=2
)
MEDIUM = Kind(
    name="medium", count=2, work_s=0.4, per_s=300.0, value=0.00167, priority=1
)
KINDS = (SHORT, LONG, MEDIUM)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A job; ``at_s`` is when it was last submitted."""

    kind: Kind
    spec: specs.JobSpec
    at_s: float
    work_s: float
    first_at_s: float
    attempts: int = 1

    @property
    def goal_s(self):
        """Return the time in which the job has to complete."""
        return loads.STRETCH * self.work_s + loads.ALLOWANCE_S


class CompetingLoad:
    """Submits jobs of several queues at a multiple of the capacity.

    Estimates are off by up to 40% either way, and ``tail_share`` of the jobs
    last ``tail_factor`` times their estimate. ``weights`` are the relative
    numbers of callers of the entries. ``returns`` tells when a refused caller
    submits its job again at the same entry: ``never``, ``at_once`` or
    ``as_told``. Its job is then due as if it had arrived at that time.
    """

    def __init__(
        self,
        cluster,
        *,
        kinds=KINDS,
        seed=1,
        tail_share=0.0,
        tail_factor=7.0,
        weights=None,
        returns="never",
    ):
        self.cluster = cluster
        self.returns = returns
        cluster.on_answer = self.on_answer
        self.kinds = kinds
        self.rng = random.Random(seed)
        self.tail_share = tail_share
        self.tail_factor = tail_factor
        self.entries = [entry.name for entry in cluster.entries()]
        self.weights = weights or [1.0] * len(self.entries)
        self.arrivals = {}
        self.owed = collections.Counter()
        self.queues = {
            kind.name: specs.Queue(
                name=kind.name,
                host="orders.example",
                prefix=f"/{kind.name}/",
                service="orders",
                stretch=loads.STRETCH,
                allowance_s=loads.ALLOWANCE_S,
                attempt_limit=2,
                priority=kind.priority,
            )
            for kind in kinds
        }

    def capacity_cores(self):
        """Return the capacity of all endpoints, at their speed."""
        return sum(
            endpoint.record.capacity.cores * endpoint.speed
            for endpoint in self.cluster.endpoints.values()
            if not endpoint.is_down
        )

    def run(self, multiple, for_s, *, factors=None):
        """Submit jobs at a multiple of the capacity for a while.

        ``factors`` multiply the rates of kinds, by name.
        """
        work = sum(kind.per_s * kind.core_s for kind in self.kinds)
        scale = multiple * self.capacity_cores() / work
        rates = [
            scale * kind.per_s * (factors or {}).get(kind.name, 1.0)
            for kind in self.kinds
        ]
        end_s = self.cluster.now_s + for_s
        while True:
            wait_s = self.rng.expovariate(sum(rates))
            if self.cluster.now_s + wait_s > end_s:
                break
            self.cluster.run(wait_s)
            self.submit(self.next_kind(rates))
        self.cluster.run(end_s - self.cluster.now_s)

    def next_kind(self, rates):
        """Return the kind that is furthest behind its rate.

        Few long jobs arrive, so that random kinds would change the load.
        """
        for kind, rate in zip(self.kinds, rates):
            self.owed[kind.name] += rate / sum(rates)
        kind = max(self.kinds, key=lambda each: self.owed[each.name])
        self.owed[kind.name] -= 1.0
        return kind

    def submit(self, kind):
        """Submit one job of a kind."""
        number = len(self.arrivals) + 1
        estimate_s = kind.work_s * self.rng.uniform(0.6, 1.4)
        work_s = estimate_s * self.rng.uniform(0.6, 1.4)
        if self.rng.random() < self.tail_share:
            work_s = estimate_s * self.tail_factor
        spec = dataclasses.replace(
            clusters.job(
                number,
                count=kind.count,
                work_s=estimate_s,
                cores=CORES_PER_TASK,
                queue=self.queues[kind.name],
            ),
            caller_timeout_s=estimate_s + CALLER_PATIENCE_S,
        )
        for index in range(kind.count):
            self.cluster.work_s[f"{spec.job}.0.0.{index}"] = work_s
        self.arrivals[spec.job] = Arrival(
            kind=kind,
            spec=spec,
            at_s=self.cluster.now_s,
            work_s=work_s,
            first_at_s=self.cluster.now_s,
        )
        entry = self.rng.choices(self.entries, self.weights)[0]
        self.cluster.submit(entry, spec)

    def on_answer(self, process, job_id, answer):
        """Submit a refused job again, when its caller returns."""
        arrival = self.arrivals.get(job_id)
        if (
            self.returns == "never"
            or answer.state is not specs.JobState.REFUSED
            or arrival.attempts >= MAX_ATTEMPTS
        ):
            return
        delay_s = AT_ONCE_S
        if self.returns == "as_told":
            delay_s = max(1, math.ceil(answer.retry_after_s)) + ROUND_TRIP_S

        def event():
            self.arrivals[job_id] = dataclasses.replace(
                arrival,
                at_s=self.cluster.now_s,
                attempts=arrival.attempts + 1,
            )
            self.cluster.submit(process.node.name, arrival.spec)

        self.cluster.at(delay_s, event)

    def outcome(self, arrival):
        """Return what became of a job: ``on_time``, ``late`` or a state."""
        found = "unanswered"
        for at_s, _, answer in self.cluster.answers.get(arrival.spec.job, []):
            found = answer.state.value
            if answer.state is specs.JobState.COMPLETED:
                passed_s = at_s - arrival.at_s
                if passed_s <= arrival.goal_s:
                    return "on_time"
                return "late" if passed_s <= 3 * arrival.goal_s else "overdue"
        return found

    def outcomes(self, from_s=0.0, to_s=float("inf")):
        """Return the outcomes of the jobs of each kind that arrived then."""
        found = {kind.name: collections.Counter() for kind in self.kinds}
        for arrival in self.arrivals.values():
            if from_s <= arrival.at_s < to_s:
                counts = found[arrival.kind.name]
                counts["arrived"] += 1
                counts[self.outcome(arrival)] += 1
        return found

    def goodput(self, from_s, to_s):
        """Return the value per second of the jobs that arrived then."""
        worth = {"on_time": 1.0, "late": LATE_WORTH}
        total = sum(
            arrival.kind.value * worth.get(self.outcome(arrival), 0.0)
            for arrival in self.arrivals.values()
            if from_s <= arrival.at_s < to_s
        )
        return total / (to_s - from_s)

    def refusal_delays_s(self):
        """Return how long each refused job had waited."""
        return [
            at_s - arrival.at_s
            for arrival in self.arrivals.values()
            for at_s, _, answer in self.cluster.answers.get(
                arrival.spec.job, []
            )
            if answer.state is specs.JobState.REFUSED
        ]


def fleet(*, admission="forecast", agents=8, entries=2, cores=16.0, seed=1):
    """Return a connected cluster with unequal endpoints."""
    cluster = clusters.SimulatedCluster(entries=0, agents=0, seed=seed)
    cluster.admission = admission
    for number in range(entries):
        cluster.add_entry(f"entry-{number}")
    for number in range(agents):
        size = 1.5 if number % 3 == 2 else 1.0
        cluster.add_agent(
            f"agent-{number}",
            cores=cores * size,
            speed=loads.SPEEDS[number % len(loads.SPEEDS)],
        )
    cluster.run(2.5)
    return cluster
