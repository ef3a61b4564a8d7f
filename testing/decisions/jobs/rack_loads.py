"""Load whose tasks prefer racks, for tests of delay scheduling."""

import dataclasses
import random
import statistics

from _jasminewind import resources
from _jasminewind.decisions.jobs import specs
from testing.decisions import fakes
from testing.decisions.jobs import cluster as clusters

RACKS = ("r0", "r1", "r2", "r3")
HOT_RACK = "r0"
AGENTS_PER_RACK = 3
CORES = 9.0
NEED = resources.Resources(cores=1.5, memory_mb=64.0)
STRETCH = 1.6
ALLOWANCE_S = 0.06
LATE_FACTOR = 3.0
LATE_VALUE = 0.2


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of job; ``share`` is its share of all arrivals."""

    name: str
    count: int
    work_s: float
    share: float


KINDS = (
    Kind("short", 4, 0.12, 0.3),
    Kind("long", 2, 1.5, 0.1),
    Kind("middle", 2, 0.4, 0.6),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pattern:
    """A load pattern; ``utilization`` is without remote runs.

    ``hot_share`` of the jobs of the kind "middle" prefer the hot rack.
    ``tail_share`` of the tasks take ``tail_factor`` times as long.
    """

    utilization: float = 0.4
    hot_share: float = 0.0
    estimate_error: float = 0.2
    tail_share: float = 0.0
    tail_factor: float = 7.0
    remote_slowdown: float = 2.0
    failure_s: float = 0.0
    for_s: float = 6.0


class RackLoad:
    """Submits jobs whose data are in a rack, to a fleet in racks."""

    def __init__(self, pattern, *, placement_wait, seed):
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.meter = fakes.Meter()
        self.cluster = fleet(pattern, placement_wait, seed)
        for process in self.cluster.processes.values():
            process.state_machine.meter = self.meter
        self.arrived = {}

    def run(self):
        """Submit jobs for a while, then let the last ones complete."""
        pattern = self.pattern
        mean_core_s = sum(
            kind.share * kind.count * kind.work_s * NEED.cores
            for kind in KINDS
        )
        capacity = len(RACKS) * AGENTS_PER_RACK * CORES
        rate = pattern.utilization * capacity / mean_core_s
        arrivals = []
        at_s = 0.0
        while at_s < pattern.for_s:
            at_s += self.rng.expovariate(rate)
            arrivals.append((at_s, self.draw(len(arrivals) + 1)))
        if pattern.failure_s:
            self.cluster.at(pattern.failure_s, self.fail_hot_rack)
        for at_s, spec in arrivals:
            self.cluster.at(at_s, lambda spec=spec: self.submit(spec))
        self.cluster.run(pattern.for_s + 12.0)
        assert not self.cluster.violations()

    def draw(self, number):
        """Return a random job."""
        kind = self.rng.choices(KINDS, [each.share for each in KINDS])[0]
        rack = self.rng.choice(RACKS)
        is_hot = self.rng.random() < self.pattern.hot_share
        if kind.name == "middle" and is_hot:
            rack = HOT_RACK
        work_s = kind.work_s * self.rng.uniform(0.7, 1.3)
        error = self.pattern.estimate_error
        step = specs.Step(
            count=kind.count,
            need=NEED,
            estimate_s=work_s * self.rng.uniform(1.0 - error, 1.0 + error),
            data_rack=rack,
        )
        spec = specs.JobSpec(
            job=f"{number:016x}",
            queue=dataclasses.replace(
                clusters.QUEUE,
                name=kind.name,
                stretch=STRETCH,
                allowance_s=ALLOWANCE_S,
            ),
            specification="text",
            steps=(step,),
        )
        for index in range(kind.count):
            task_s = work_s
            if self.rng.random() < self.pattern.tail_share:
                task_s *= self.pattern.tail_factor
            name = f"{spec.job}.0.0.{index}"
            self.cluster.work_s[name] = task_s
            self.cluster.data_racks[name] = rack
        return spec

    def submit(self, spec):
        """Submit a job to the next entry."""
        self.arrived[spec.job] = (spec, self.cluster.now_s)
        entries = self.cluster.entries()
        entry = entries[len(self.arrived) % len(entries)].name
        self.cluster.submit(entry, spec)

    def fail_hot_rack(self):
        """End all endpoints of the hot rack without notice."""
        for name, endpoint in self.cluster.endpoints.items():
            if HOT_RACK in endpoint.record.labels:
                self.cluster.end_endpoint(endpoint)
                self.cluster.kill(name)

    def value(self):
        """Return the mean value of a job: 1 on time, less when late."""
        values = []
        for job_id, (spec, arrived_s) in self.arrived.items():
            goal_s = STRETCH * spec.critical_path_s + ALLOWANCE_S
            value = 0.0
            for at_s, _, answer in self.cluster.answers.get(job_id, []):
                if answer.state is not specs.JobState.COMPLETED:
                    continue
                took_s = at_s - arrived_s
                if took_s <= goal_s:
                    value = 1.0
                elif took_s <= LATE_FACTOR * goal_s:
                    value = LATE_VALUE
            values.append(value)
        return statistics.mean(values)

    def stretch(self):
        """Return the mean time of completed jobs, divided by their work."""
        ratios = []
        for job_id, (spec, arrived_s) in self.arrived.items():
            for at_s, _, answer in self.cluster.answers.get(job_id, []):
                if answer.state is specs.JobState.COMPLETED:
                    ratios.append((at_s - arrived_s) / spec.critical_path_s)
        return statistics.mean(ratios)

    def local_share(self):
        """Return the share of the starts that were near their data."""
        local = total = 0
        for endpoint in self.cluster.endpoints.values():
            for _, key in endpoint.starts:
                rack = self.cluster.data_racks[key.task]
                total += 1
                local += rack in endpoint.record.labels
        return local / total


def fleet(pattern, placement_wait, seed):
    """Return a connected cluster of four racks and three entries."""
    cluster = clusters.SimulatedCluster(entries=0, agents=0, seed=seed)
    cluster.placement_wait = placement_wait
    cluster.remote_slowdown = pattern.remote_slowdown
    for number in range(3):
        cluster.add_entry(f"entry-{number}")
    for number in range(len(RACKS) * AGENTS_PER_RACK):
        cluster.add_agent(
            f"agent-{number}",
            cores=CORES,
            speed=(0.8, 1.0, 1.25)[number // len(RACKS) % 3],
            rack=RACKS[number % len(RACKS)],
        )
    cluster.run(1.0)
    return cluster
