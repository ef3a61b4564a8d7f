"""Load generator for endpoints of unequal speed and size."""

import dataclasses
import math
import random

from _jasminewind.decisions.jobs import specs
from testing.decisions.jobs import cluster as clusters

# Three of four endpoints are fast and every third one is 1.5 times as large,
# as in the clusters of the users.
SPEEDS = (0.55, 1.2, 1.2, 1.2)
SIZES = (32.0, 32.0, 48.0)
STRETCH = 1.6
ALLOWANCE_S = 0.06


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of job; ``share`` is its share of all arrivals."""

    name: str
    count: int
    work_s: float
    share: float


KINDS = (
    Kind("stock-check", 8, 0.102, 0.244),
    Kind("cut-list", 4, 1.52, 0.045),
    Kind("store-quote", 2, 0.34, 0.711),
)


class OscillatingLoad:
    """Submits jobs of all kinds at a rate that follows a sine wave.

    Estimates are off by up to 40% either way. A job is on time if it completes
    within the target that its queue sets for its true run time.
    """

    def __init__(
        self, cluster, *, per_s, amplitude=0.55, period_s=15.0, seed=1
    ):
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.per_s = per_s
        self.amplitude = amplitude
        self.period_s = period_s
        self.arrived = {}
        self.entries = len(cluster.entries())

    def run(self, for_s):
        """Submit jobs for a while, then let the last ones complete."""
        end_s = self.cluster.now_s + for_s
        while self.cluster.now_s < end_s:
            angle = 2 * math.pi * self.cluster.now_s / self.period_s
            rate = self.per_s * (1 + self.amplitude * math.sin(angle))
            self.cluster.run(self.rng.expovariate(rate))
            self.submit(self.draw())
        self.cluster.run(10.0)

    def draw(self):
        """Return a random kind, weighted by its share."""
        weights = [kind.share for kind in KINDS]
        return self.rng.choices(KINDS, weights)[0]

    def submit(self, kind):
        """Submit one job of a kind."""
        number = len(self.arrived) + 1
        work_s = kind.work_s * self.rng.uniform(0.6, 1.4)
        queue = specs.Queue(
            name=kind.name,
            host="orders.example",
            prefix=f"/{kind.name}/",
            service="orders",
            stretch=STRETCH,
            allowance_s=ALLOWANCE_S,
            attempt_limit=2,
        )
        estimate_s = work_s * self.rng.uniform(0.6, 1.4)
        spec = clusters.job(
            number, count=kind.count, work_s=estimate_s, cores=3.1, queue=queue
        )
        for index in range(kind.count):
            self.cluster.work_s[f"{spec.job}.0.0.{index}"] = work_s
        self.arrived[spec.job] = (kind, self.cluster.now_s, work_s)
        entry = f"entry-{number % self.entries}"
        self.cluster.submit(entry, spec)

    def on_time_shares(self):
        """Return the share of each kind that completed on time."""
        total = dict.fromkeys((kind.name for kind in KINDS), 0)
        on_time = dict.fromkeys(total, 0)
        for job_id, (kind, arrived_s, work_s) in self.arrived.items():
            total[kind.name] += 1
            goal_s = STRETCH * work_s + ALLOWANCE_S
            for at_s, _, answer in self.cluster.answers.get(job_id, []):
                if answer.state is not specs.JobState.COMPLETED:
                    continue
                on_time[kind.name] += at_s - arrived_s <= goal_s
        return {name: on_time[name] / max(total[name], 1) for name in total}


def fleet(*, placement, agents=11, entries=3, seed=1):
    """Return a connected cluster with unequal endpoints."""
    cluster = clusters.SimulatedCluster(entries=0, agents=0, seed=seed)
    cluster.placement = placement
    for number in range(entries):
        cluster.add_entry(f"entry-{number}")
    for number in range(agents):
        cluster.add_agent(
            f"agent-{number}",
            cores=SIZES[number % len(SIZES)],
            speed=SPEEDS[number % len(SPEEDS)],
        )
    cluster.run(1.0)
    return cluster
