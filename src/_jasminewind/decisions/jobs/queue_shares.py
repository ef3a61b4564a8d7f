"""Shares of the capacity that queues ask for and get.

Under overload, queues compete for the capacity. Each one may use a minimum
share of it, and the rest goes to the queues which it serves best: priority 0,
then those that need the fewest core-seconds for a job.
"""

import collections.abc
import dataclasses

from _jasminewind.decisions.jobs import rates
from _jasminewind.decisions.jobs import specs

# Time constant of the sliding window. An entry of the smallest share accepts
# one or two of the longest jobs per second.
WINDOW_S = 3.0
# Each queue may use this much of its fair share, which is its part if the
# capacity is divided equally and no queue gets more than it asks for.
FLOOR = 0.8
# Queues that are counted, about 1.5 kB each. Others are not limited.
MAX_QUEUES = 512
# The shares are divided again after this time. That takes 0.1 ms for 180
# queues, and several jobs arrive in between.
DIVIDE_PERIOD_S = 0.05
# Queues that ask for less than this part of the capacity do not compete.
MIN_COMPETING = 0.01
# The largest jobs of a queue are this part of it, and are served at least
# LARGE_FLOOR times as often as the queue. They are preferred below a ratio
# that is larger, because few of them arrive.
LARGE_PART = 0.1
LARGE_FLOOR = 0.5
LARGE_PREFERRED_BELOW = 0.8
# Window of the counts of jobs, in which large jobs have to be found.
COUNT_WINDOW_S = 10.0
# How much more than its part a queue may get by its preferred jobs.
PREFERRED_FACTOR = 1.2
# Step of the estimated size of large jobs, relative to that size.
SIZE_STEP = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """What a queue asks for, in cores, and how well it uses them."""

    asked_cores: float
    priority: int
    core_s_per_job: float


class Counts:
    """Jobs asked for and accepted in the sliding window."""

    def __init__(self) -> None:
        self.asked = rates.RecentSum(COUNT_WINDOW_S)
        self.got = rates.RecentSum(COUNT_WINDOW_S)

    def served(self, now_s: float) -> float:
        """Return the part of the jobs that was accepted."""
        asked = self.asked.total(now_s)
        return self.got.total(now_s) / asked if asked else 1.0


class QueueUse:
    """What one queue asked for and got, in core-seconds and in jobs."""

    def __init__(self, start_s: float) -> None:
        self.start_s = start_s
        self.priority = 0
        self.asked = rates.RecentSum(WINDOW_S)
        self.got = rates.RecentSum(WINDOW_S)
        self.jobs = Counts()
        self.large_jobs = Counts()
        # Estimated smallest size of the largest tenth, in core-seconds.
        self.large_core_s = 0.0

    def ask(self, spec: specs.JobSpec, now_s: float) -> None:
        """Record a job that arrives."""
        self.priority = spec.queue.priority
        self.asked.add(spec.core_s, now_s)
        self.jobs.asked.add(1.0, now_s)
        if self.is_large(spec):
            self.large_jobs.asked.add(1.0, now_s)
        if not self.large_core_s:
            self.large_core_s = spec.core_s
        above = spec.core_s > self.large_core_s
        change = (1.0 - LARGE_PART) if above else -LARGE_PART
        self.large_core_s *= 1.0 + SIZE_STEP * change

    def change_got(
        self, spec: specs.JobSpec, number: int, now_s: float
    ) -> None:
        """Record an accepted job, or with -1 that it was refused later."""
        self.got.add(number * spec.core_s, now_s)
        self.jobs.got.add(number, now_s)
        if self.is_large(spec):
            self.large_jobs.got.add(number, now_s)

    def is_large(self, spec: specs.JobSpec) -> bool:
        """Tell whether a job is in the largest tenth of its queue."""
        return spec.core_s > self.large_core_s > 0.0

    def prefers(self, spec: specs.JobSpec, now_s: float) -> bool:
        """Tell whether a job is large and such jobs are served too rarely."""
        served = self.jobs.served(now_s)
        return (
            self.is_large(spec)
            and self.large_jobs.served(now_s) < LARGE_PREFERRED_BELOW * served
        )

    def asked_cores(self, now_s: float) -> float:
        """Return the recent rate of work that arrived."""
        return self.asked.per_s_since(self.start_s, now_s)

    def got_cores(self, now_s: float) -> float:
        """Return the recent rate of work that was accepted."""
        return max(self.got.per_s_since(self.start_s, now_s), 0.0)

    def claim(self, now_s: float) -> Claim:
        """Return what the queue asks for."""
        jobs = self.jobs.asked.per_s_since(self.start_s, now_s)
        asked = self.asked_cores(now_s)
        return Claim(
            asked_cores=asked,
            priority=self.priority,
            core_s_per_job=asked / jobs if jobs else 0.0,
        )


class QueueShares:
    """Divides the capacity of one service among its queues."""

    def __init__(self) -> None:
        self.uses: dict[str, QueueUse] = {}
        self.parts: dict[str, float] = {}
        # Queues that ask for a noticeable part of the capacity.
        self.competing: list[str] = []
        self.next_division_s = 0.0

    def ask(self, spec: specs.JobSpec, now_s: float) -> None:
        """Record a job that arrives."""
        use = self.uses.get(spec.queue.name)
        if use is None:
            if len(self.uses) >= MAX_QUEUES:
                self.drop_unused(now_s)
            if len(self.uses) >= MAX_QUEUES:
                return
            use = self.uses[spec.queue.name] = QueueUse(now_s)
        use.ask(spec, now_s)

    def drop_unused(self, now_s: float) -> None:
        """Drop the queues that have not asked for anything recently."""
        for name, use in list(self.uses.items()):
            if now_s - use.asked.at_s > 3.0 * COUNT_WINDOW_S:
                del self.uses[name]
        self.competing = [each for each in self.competing if each in self.uses]

    def accept(self, spec: specs.JobSpec, now_s: float) -> None:
        """Record an accepted job."""
        use = self.uses.get(spec.queue.name)
        if use is not None:
            use.change_got(spec, 1, now_s)

    def withdraw(self, spec: specs.JobSpec, now_s: float) -> None:
        """Record that an accepted job was refused before it started."""
        use = self.uses.get(spec.queue.name)
        if use is not None:
            use.change_got(spec, -1, now_s)

    def has_room(
        self,
        spec: specs.JobSpec,
        capacity_cores: float,
        now_s: float,
        *,
        is_preferred: bool = False,
    ) -> bool:
        """Tell whether the queue of a job may get more under overload."""
        use = self.uses.get(spec.queue.name)
        if use is None:
            return True
        self.update(capacity_cores, now_s)
        part = self.parts.get(spec.queue.name)
        if part is None or len(self.competing) < 2:
            return True
        if is_preferred or use.prefers(spec, now_s):
            part *= PREFERRED_FACTOR
        return use.got_cores(now_s) < part

    def is_first(
        self, spec: specs.JobSpec, capacity_cores: float, now_s: float
    ) -> bool:
        """Tell whether a job has priority 0 and others compete with it."""
        if spec.queue.priority:
            return False
        self.update(capacity_cores, now_s)
        return any(self.uses[name].priority for name in self.competing)

    def update(self, capacity_cores: float, now_s: float) -> None:
        """Divide the capacity again, unless that was done just before."""
        if now_s < self.next_division_s:
            return
        self.next_division_s = now_s + DIVIDE_PERIOD_S
        claims = {name: use.claim(now_s) for name, use in self.uses.items()}
        self.parts = divide(claims, capacity_cores)
        least = MIN_COMPETING * capacity_cores
        self.competing = [
            name for name, each in claims.items() if each.asked_cores > least
        ]


def divide(
    claims: collections.abc.Mapping[str, Claim], capacity_cores: float
) -> dict[str, float]:
    """Return the cores that each queue may use.

    Together they are the capacity, or all that is asked for if that is less.
    """
    fair = fair_shares(
        {name: claim.asked_cores for name, claim in claims.items()},
        capacity_cores,
    )
    parts = {name: FLOOR * share for name, share in fair.items()}
    left = min(
        capacity_cores, sum(claim.asked_cores for claim in claims.values())
    ) - sum(parts.values())
    for name in sorted(claims, key=lambda each: rank(each, claims[each])):
        extra = min(claims[name].asked_cores - parts[name], max(left, 0.0))
        parts[name] += extra
        left -= extra
    return parts


def rank(name: str, claim: Claim) -> tuple[bool, float, str]:
    """Return the place of a queue when what is left is divided."""
    return claim.priority > 0, claim.core_s_per_job, name


def fair_shares(
    asked: collections.abc.Mapping[str, float], capacity_cores: float
) -> dict[str, float]:
    """Return equal shares, of which none exceeds what is asked for."""
    shares = {}
    left = capacity_cores
    names = sorted(asked, key=lambda each: (asked[each], each))
    for number, name in enumerate(names):
        shares[name] = min(asked[name], left / (len(names) - number))
        left -= shares[name]
    return shares
