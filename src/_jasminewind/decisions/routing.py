"""Routing policies, which choose the executor of a task."""

import abc
import collections.abc
import random

from _jasminewind.decisions import placement
from _jasminewind.decisions import pools
from _jasminewind.decisions import runs

# Weight of an endpoint's failure rate against its speed. An endpoint that
# fails fast frees its slots early and would otherwise attract more work.
FAILURE_WEIGHT = 8.0
# Expected relative slowdown when every slot of an endpoint is busy.
BUSY_WEIGHT = 0.25
# Slowdown per second of age of the latest load report, up to the limit:
# other coordinators may have sent work since.
REPORT_AGE_WEIGHT_PER_S = 0.1
MAX_REPORT_AGE_S = 5.0


class RoutingPolicy(abc.ABC):
    """Chooses an executor for one task.

    A policy that binds early may choose any executor below its connection
    limit, whatever its free capacity; the others choose among executors with
    room.
    """

    name: str
    binds_early = True

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng

    @abc.abstractmethod
    def choose(
        self,
        candidates: collections.abc.Sequence[pools.ExecutorState],
        task: runs.TaskRun,
        now_s: float,
    ) -> pools.ExecutorState:
        """Return one of ``candidates``, which is not empty."""

    def should_wait(self, executor: pools.ExecutorState, queued: int) -> bool:
        """Tell whether to leave the task queued for a better executor."""
        del executor, queued
        return False


class ExpectedCompletion(RoutingPolicy):
    """Chooses the executor with the earliest expected completion."""

    name = "expected_completion"
    binds_early = False

    def choose(
        self,
        candidates: collections.abc.Sequence[pools.ExecutorState],
        task: runs.TaskRun,
        now_s: float,
    ) -> pools.ExecutorState:
        """Return the candidate with the lowest expected completion time."""
        best = candidates[0]
        best_score = float("inf")
        for executor in candidates:
            score = expected_completion(executor, now_s)
            if not executor.is_minion:
                score += placement.penalty(executor, task)
            if score < best_score:
                best = executor
                best_score = score
        return best

    def should_wait(self, executor: pools.ExecutorState, queued: int) -> bool:
        """Tell whether waiting for a fast endpoint completes the task earlier.

        With ``n`` attempts outstanding on fast endpoints, one of them ends
        each ``1/n`` of a run time, so the last of ``queued`` tasks waits
        about ``queued/n`` run times. The unit is the typical run time.
        """
        pool = executor.pool
        if not executor.is_minion or pool.fast_outstanding == 0:
            return False
        fastest = pool.lowest_slowness
        wait = fastest * (queued + 1) / pool.fast_outstanding
        return executor.slowness > fastest * pools.FAST_FACTOR + wait


def expected_completion(executor: pools.ExecutorState, now_s: float) -> float:
    """Return the expected run time, relative to a typical idle endpoint."""
    if executor.is_minion:
        capacity = executor.endpoint.capacity.slots
        free = executor.free[0] - executor.unreported_demand[0]
    else:
        capacity = executor.endpoint.capacity.cores
        free = executor.free[1] - executor.unreported_demand[1]
    busy = 1.0 - free / capacity if capacity > 0 else 1.0
    age_s = min(now_s - executor.load_received_s, MAX_REPORT_AGE_S)
    return executor.slowness * (
        1.0
        + BUSY_WEIGHT * busy
        + REPORT_AGE_WEIGHT_PER_S * age_s
        + FAILURE_WEIGHT * executor.failure_rate
    )


class Random(RoutingPolicy):
    """Baseline: a uniformly random endpoint."""

    name = "random"

    def choose(
        self,
        candidates: collections.abc.Sequence[pools.ExecutorState],
        task: runs.TaskRun,
        now_s: float,
    ) -> pools.ExecutorState:
        """Return a random candidate."""
        del task, now_s
        return candidates[self.rng.randrange(len(candidates))]


class RoundRobin(RoutingPolicy):
    """Baseline: round robin over endpoints in the order of their names."""

    name = "round_robin"

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.last: dict[pools.PoolKey, str] = {}

    def choose(
        self,
        candidates: collections.abc.Sequence[pools.ExecutorState],
        task: runs.TaskRun,
        now_s: float,
    ) -> pools.ExecutorState:
        """Return the candidate after the one chosen last."""
        del now_s
        key = task.run.pool.key
        last = self.last.get(key, "")
        first = min(candidates, key=lambda each: each.node.name)
        later = [each for each in candidates if each.node.name > last]
        chosen = min(later, key=lambda each: each.node.name, default=first)
        self.last[key] = chosen.node.name
        return chosen


class LeastOutstanding(RoutingPolicy):
    """Baseline: the endpoint with the fewest outstanding attempts."""

    name = "least_outstanding"

    def choose(
        self,
        candidates: collections.abc.Sequence[pools.ExecutorState],
        task: runs.TaskRun,
        now_s: float,
    ) -> pools.ExecutorState:
        """Return the least loaded candidate, a random one on a tie."""
        del task, now_s
        fewest = min(len(each.outstanding) for each in candidates)
        equals = [
            each for each in candidates if len(each.outstanding) == fewest
        ]
        return equals[self.rng.randrange(len(equals))]


POLICIES: dict[str, type[RoutingPolicy]] = {
    policy.name: policy
    for policy in (ExpectedCompletion, Random, RoundRobin, LeastOutstanding)
}


def from_name(name: str, *, rng: random.Random) -> RoutingPolicy:
    """Return the policy called ``name``, or the default if unknown."""
    return POLICIES.get(name, ExpectedCompletion)(rng=rng)
