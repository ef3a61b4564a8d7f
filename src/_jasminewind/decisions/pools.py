"""State of executors, in pools that run the same kind of work.

A coordinator updates it from load reports and from its own starts.
"""

import random
import typing

from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions import fairness
from _jasminewind.decisions import runs
from _jasminewind.messages import tasks

# A load report that arrives this long after a start was sent is assumed to
# include it, even without a message about the start.
ASSUMED_REPORTED_AFTER_S = 0.25
# Connection limit of a worker, which declares none. Only baseline policies
# use it.
DEFAULT_CONNECTIONS = 64
# Other coordinators may have sent starts that an older report does not show.
FRESH_REPORT_S = 0.1
# An executor is fast if its slowness is at most this multiple of the lowest.
FAST_FACTOR = 1.3
# Share by which the slowness of an idle executor returns to 1 per update, so
# that one that was slow for a while is tried again.
SLOWNESS_DECAY = 0.02


class ExecutorState:
    """One executor: its latest load report and the starts sent to it."""

    __slots__ = (
        "node",
        "address",
        "member",
        "endpoint",
        "load",
        "load_received_s",
        "free",
        "free_long",
        "unreported_demand",
        "outstanding",
        "unreported",
        "sent_count",
        "present",
        "serving",
        "suspect",
        "absent_since_s",
        "backoff_until_s",
        "refusals",
        "ejected_until_s",
        "ejections",
        "failure_rate",
        "results",
        "slowness",
        "connections",
        "is_minion",
        "starts_until_report",
        "pool",
    )

    def __init__(
        self,
        member: members.Member,
        endpoint: members.Endpoint,
        pool: "Pool",
    ) -> None:
        self.pool = pool
        self.node = member.node
        self.address = member.address
        self.member = member
        self.endpoint = endpoint
        self.load = members.Load()
        self.load_received_s = float("-inf")
        self.free: tuple[float, ...] = (0.0, 0.0, 0.0, 0.0)
        self.free_long: tuple[float, ...] = (0.0, 0.0, 0.0, 0.0)
        # Demand of starts that the latest load report does not include.
        self.unreported_demand = [0.0, 0.0, 0.0, 0.0]
        self.outstanding: dict[tasks.TaskKey, runs.Attempt] = {}
        self.unreported: dict[int, runs.Attempt] = {}
        self.sent_count = 0
        self.present = True
        self.serving = True
        self.suspect = False
        self.absent_since_s = 0.0
        self.backoff_until_s = 0.0
        self.refusals = 0
        self.ejected_until_s = 0.0
        self.ejections = 0
        self.failure_rate = 0.0
        self.results = 0
        self.slowness = 1.0
        self.connections = endpoint.connections or DEFAULT_CONNECTIONS
        self.is_minion = endpoint.kind == members.EndpointKind.MINION
        self.starts_until_report = 0

    def accepts(self, now_s: float) -> bool:
        """Tell whether the executor may get new work, whatever its load."""
        return (
            self.present
            and self.serving
            and not self.suspect
            and self.backoff_until_s <= now_s
            and self.ejected_until_s <= now_s
        )

    def apply_load(
        self, load: members.Load, now_s: float, coordinator_count: int
    ) -> None:
        """Apply a load report unless a newer one was applied before.

        All coordinators share the free slots until the next report.
        """
        if load.sequence <= self.load.sequence and self.load_received_s > 0:
            return
        self.load = load
        self.load_received_s = now_s
        free = load.free
        free_long = load.free_long
        if load.sequence == 0:
            free = self.endpoint.capacity
            free_long = free
        self.free = as_amounts(free)
        self.free_long = as_amounts(free_long)
        self.starts_until_report = max(1, int(free.slots) // coordinator_count)
        for attempt in list(self.unreported.values()):
            if attempt.sent_s + ASSUMED_REPORTED_AFTER_S > now_s:
                break
            self.mark_reported(attempt)

    def add(self, attempt: runs.Attempt) -> None:
        """Register a start that is sent now."""
        self.sent_count += 1
        attempt.send_order = self.sent_count
        self.outstanding[attempt.key] = attempt
        self.unreported[attempt.send_order] = attempt
        self.starts_until_report -= 1
        pending = self.unreported_demand
        demand = attempt.task.amounts
        pending[0] += demand[0]
        pending[1] += demand[1]
        pending[2] += demand[2]
        pending[3] += demand[3]

    def mark_reported(self, attempt: runs.Attempt) -> None:
        """Drop the demand of a start that load reports now include."""
        if attempt.reported:
            return
        attempt.reported = True
        del self.unreported[attempt.send_order]
        pending = self.unreported_demand
        if not self.unreported:
            pending[:] = (0.0, 0.0, 0.0, 0.0)
            return
        demand = attempt.task.amounts
        pending[0] -= demand[0]
        pending[1] -= demand[1]
        pending[2] -= demand[2]
        pending[3] -= demand[3]

    def mark_reported_up_to(self, attempt: runs.Attempt) -> None:
        """Mark a start that the executor has, and all sent before it."""
        order = attempt.send_order
        while self.unreported:
            first = next(iter(self.unreported))
            if first > order:
                return
            self.mark_reported(self.unreported[first])

    def remove(self, attempt: runs.Attempt) -> None:
        """Remove an attempt that has ended."""
        del self.outstanding[attempt.key]
        self.mark_reported(attempt)

    def fits(self, demand: tuple[float, ...], is_long: bool) -> bool:
        """Tell whether the executor has room for ``demand`` now."""
        free = self.free_long if is_long else self.free
        pending = self.unreported_demand
        if self.is_minion:
            return demand[0] <= free[0] - pending[0]
        return (
            demand[1] <= free[1] - pending[1]
            and demand[2] <= free[2] - pending[2]
            and demand[3] <= free[3] - pending[3]
        )

    def has_room(self, now_s: float) -> bool:
        """Tell whether there may be room for the smallest task."""
        free = self.free
        if not self.is_minion:
            return free[1] - self.unreported_demand[1] > 0.0
        if free[0] - self.unreported_demand[0] < 1.0:
            return False
        is_old = now_s - self.load_received_s > FRESH_REPORT_S
        return self.starts_until_report > 0 or not is_old

    def can_queue_one(self) -> bool:
        """Tell whether one start may wait in the minion's own queue.

        Without it a coordinator would get no slot while its peers hold all.
        """
        return (
            self.is_minion and not self.outstanding and self.load.queued == 0
        )


def as_amounts(vector: resources.Resources) -> tuple[float, ...]:
    """Return the amounts in the order of ``resources.FIELDS``."""
    return (
        vector.slots,
        vector.cores,
        vector.memory_mb,
        vector.accelerators,
    )


class PoolKey(typing.NamedTuple):
    """Kind of endpoint and, for minions, the service."""

    kind: members.EndpointKind
    service: str


class Pool:
    """Executors that can run the same work, and the tasks queued for them."""

    def __init__(
        self,
        *,
        key: PoolKey,
        rng: random.Random,
        weight: typing.Callable[[str], float],
    ) -> None:
        self.key = key
        self.rng = rng
        self.executors: list[ExecutorState] = []
        # Executors with room. The order rotates, which spreads the load
        # when only some of them are examined.
        self.available: dict[ExecutorState, None] = {}
        self.binds_early = False
        self.needs_dispatch = False
        self.outstanding = 0
        self.coordinator_count = 1
        # Capacity of the usable executors, in the order of resources.FIELDS.
        self.total: tuple[float, ...] = ()
        # Slowness of the fastest executor, and the number of outstanding
        # attempts on executors that are about as fast.
        self.lowest_slowness = 1.0
        self.fast_outstanding = 0
        self.suspect_count = 0
        self.capacities: tuple[resources.Resources, ...] = ()
        self.short_queue: fairness.FairQueue[runs.TaskRun] = (
            fairness.FairQueue(weight=weight)
        )
        self.long_queue: fairness.FairQueue[runs.TaskRun] = fairness.FairQueue(
            weight=weight, quantum_s=fairness.LONG_QUANTUM_S
        )

    def queue(self, is_long: bool) -> fairness.FairQueue[runs.TaskRun]:
        """Return the queue of long or of short tasks."""
        return self.long_queue if is_long else self.short_queue

    def queued_count(self) -> int:
        """Return the number of queued tasks."""
        return len(self.short_queue) + len(self.long_queue)

    def refresh(self, executor: ExecutorState, now_s: float) -> None:
        """Update whether ``executor`` is available after it changed."""
        self.available.pop(executor, None)
        if not executor.accepts(now_s):
            return
        if self.binds_early:
            is_available = len(executor.outstanding) < executor.connections
        else:
            is_available = executor.has_room(now_s) or executor.can_queue_one()
        if is_available:
            self.available[executor] = None
            self.needs_dispatch = True

    def add_executor(self, executor: ExecutorState) -> None:
        """Insert an executor at a random index, to mix failure domains."""
        executor.pool = self
        index = self.rng.randrange(len(self.executors) + 1)
        self.executors.insert(index, executor)

    def remove_executor(self, executor: ExecutorState) -> None:
        """Remove an executor that has left."""
        self.executors.remove(executor)
        self.available.pop(executor, None)

    def update_totals(self) -> None:
        """Update the totals after records of executors changed."""
        usable = [
            each
            for each in self.executors
            if each.present and each.serving and not each.suspect
        ]
        amounts = [as_amounts(each.endpoint.capacity) for each in usable]
        self.total = tuple(sum(column) for column in zip(*amounts))
        self.suspect_count = sum(
            1 for each in self.executors if each.suspect or not each.present
        )
        # In order of first occurrence, so that test runs are reproducible.
        self.capacities = tuple(
            dict.fromkeys(each.endpoint.capacity for each in self.executors)
        )

    def capacity_for(self, amounts: tuple[float, ...]) -> float:
        """Return how many tasks of this size all executors run at once."""
        counts = [
            have / need
            for have, need in zip(self.total, amounts)
            if need > 0.0
        ]
        return min(counts, default=0.0)

    def room_for(self, amounts: tuple[float, ...]) -> float:
        """Return how many tasks of this size fit in the free capacity."""
        count = 0.0
        for executor in self.available:
            counts = [
                max(free - pending, 0.0) // need
                for free, pending, need in zip(
                    executor.free, executor.unreported_demand, amounts
                )
                if need > 0.0
            ]
            count += min(counts, default=0.0)
        return count

    def update_fast_executors(self) -> None:
        """Find the fast executors and decay the slowness of idle ones."""
        usable = [
            each
            for each in self.executors
            if each.present and each.serving and not each.suspect
        ]
        for executor in usable:
            if not executor.outstanding:
                drift = SLOWNESS_DECAY * (1.0 - executor.slowness)
                executor.slowness += drift
        self.lowest_slowness = min(
            (each.slowness for each in usable), default=1.0
        )
        limit = self.lowest_slowness * FAST_FACTOR
        self.fast_outstanding = sum(
            len(each.outstanding) for each in usable if each.slowness <= limit
        )
