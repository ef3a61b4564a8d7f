"""Resource accounting of one endpoint: capacity and task allocations."""

import dataclasses
import math

from _jasminewind import configuration
from _jasminewind import members
from _jasminewind import resources
from _jasminewind.messages import tasks

# Usage reports lag and start low, so each report lowers an allocation by at
# most a fifth. An increase applies in full, because a worker kills tasks that
# exceed its memory.
MIN_RETAINED_SHARE = 0.8
MIN_CORRECTION_FACTOR = 0.5
MAX_CORRECTION_FACTOR = 4.0
# Fraction of its cores that a throttled task keeps.
THROTTLED_CORE_SHARE = 0.25
DEFAULT_DEMAND = resources.Resources(cores=1.0)
# Tolerance for rounding errors in repeated sums.
EPSILON = 1e-6


@dataclasses.dataclass
class Allocation:
    """Resources of one running task.

    ``demand`` is what was declared; ``amount`` is what is accounted for,
    which usage reports correct.
    """

    demand: resources.Resources
    amount: resources.Resources
    is_long: bool
    is_throttled: bool = False


def clamped(amount: resources.Resources) -> resources.Resources:
    """Return ``amount`` rounded, with negative resources set to zero."""
    return resources.Resources(
        slots=max(0.0, round(amount.slots, 6)),
        cores=max(0.0, round(amount.cores, 6)),
        memory_mb=max(0.0, round(amount.memory_mb, 6)),
        accelerators=max(0.0, round(amount.accelerators, 6)),
    )


def covers(
    available: resources.Resources, demand: resources.Resources
) -> bool:
    """Tell whether ``available`` covers ``demand`` within ``EPSILON``."""
    for field in resources.FIELDS:
        need = getattr(demand, field)
        if need > 0 and need > getattr(available, field) + EPSILON:
            return False
    return True


def corrected_amount(
    allocated: float, declared: float, measured: float
) -> float:
    """Return the allocation of one resource after a usage report."""
    target = min(measured, declared * MAX_CORRECTION_FACTOR)
    target = max(target, declared * MIN_CORRECTION_FACTOR)
    return max(target, allocated * MIN_RETAINED_SHARE)


class Capacity:
    """Capacity of one endpoint and the allocations of its running tasks."""

    def __init__(self) -> None:
        self.endpoint: members.Endpoint | None = None
        self.policy = configuration.Policy()
        self.allocations: dict[tasks.TaskKey, Allocation] = {}

    @property
    def total(self) -> resources.Resources:
        """Return the total capacity, zero before an announcement."""
        if self.endpoint is None:
            return resources.NOTHING
        return self.endpoint.capacity

    @property
    def is_minion(self) -> bool:
        """Tell whether the endpoint is a minion."""
        endpoint = self.endpoint
        if endpoint is None:
            return False
        return endpoint.kind is members.EndpointKind.MINION

    def demand_of(self, start: tasks.TaskStart) -> resources.Resources:
        """Return the resources that a task needs on this kind of endpoint.

        A request takes one slot of a minion, whatever it declares. A job
        task that declares no resources counts as one core.
        """
        if self.is_minion:
            return resources.ONE_SLOT
        demand = dataclasses.replace(start.task.demand, slots=0.0)
        if demand == resources.NOTHING:
            return DEFAULT_DEMAND
        return demand

    def long_task_limit(self) -> resources.Resources:
        """Return the capacity that long tasks may use.

        Slots and accelerators are indivisible; long tasks may use at least
        one of each, because they could never run otherwise.
        """
        total = self.total
        if not self.policy.separate_long_work:
            return total
        share = total.scaled(1.0 - self.policy.reserved_share)
        return dataclasses.replace(
            share,
            slots=whole_units(share.slots, total.slots),
            accelerators=whole_units(share.accelerators, total.accelerators),
        )

    def allocated(self, *, only_long: bool = False) -> resources.Resources:
        """Return the sum of the allocations.

        Runs several times for each start, so it adds plain numbers instead
        of creating a ``Resources`` object for each allocation.
        """
        slots = cores = memory_mb = accelerators = 0.0
        for allocation in self.allocations.values():
            if only_long and not allocation.is_long:
                continue
            amount = allocation.amount
            share = THROTTLED_CORE_SHARE if allocation.is_throttled else 1.0
            slots += amount.slots
            cores += amount.cores * share
            memory_mb += amount.memory_mb
            accelerators += amount.accelerators
        return resources.Resources(
            slots=slots,
            cores=cores,
            memory_mb=memory_mb,
            accelerators=accelerators,
        )

    def free(self) -> resources.Resources:
        """Return the unallocated capacity."""
        return clamped(self.total - self.allocated())

    def free_long(self) -> resources.Resources:
        """Return the unallocated capacity that long tasks may use."""
        left = clamped(self.long_task_limit() - self.allocated(only_long=True))
        free = self.free()
        return resources.Resources(
            slots=min(left.slots, free.slots),
            cores=min(left.cores, free.cores),
            memory_mb=min(left.memory_mb, free.memory_mb),
            accelerators=min(left.accelerators, free.accelerators),
        )

    def can_ever_fit(self, demand: resources.Resources) -> bool:
        """Tell whether ``demand`` fits the idle endpoint."""
        return covers(self.total, demand)

    def fits_now(self, demand: resources.Resources, *, is_long: bool) -> bool:
        """Tell whether a task with ``demand`` can start now.

        A long task that exceeds the limit for long tasks may run when no
        other long task does; otherwise no worker could ever run it.
        """
        if not covers(self.free(), demand):
            return False
        if not is_long or not self.policy.separate_long_work:
            return True
        if covers(self.free_long(), demand):
            return True
        is_oversize = not covers(self.long_task_limit(), demand)
        return is_oversize and not self.has_long_task()

    def has_long_task(self) -> bool:
        """Tell whether a long task is running."""
        return any(
            allocation.is_long for allocation in self.allocations.values()
        )

    def allocate(
        self,
        key: tasks.TaskKey,
        demand: resources.Resources,
        *,
        is_long: bool,
    ) -> None:
        """Allocate ``demand`` to the task ``key``."""
        self.allocations[key] = Allocation(
            demand=demand, amount=demand, is_long=is_long
        )

    def release(self, key: tasks.TaskKey) -> None:
        """Free the allocation of the task ``key``."""
        self.allocations.pop(key, None)

    def correct(self, usage: tasks.Usage) -> None:
        """Adjust the allocation of an unthrottled task to measured usage."""
        allocation = self.allocations.get(usage.key)
        if allocation is None or allocation.is_throttled:
            return
        demand = allocation.demand
        allocation.amount = dataclasses.replace(
            allocation.amount,
            cores=corrected_amount(
                allocation.amount.cores, demand.cores, usage.cores
            ),
            memory_mb=corrected_amount(
                allocation.amount.memory_mb, demand.memory_mb, usage.memory_mb
            ),
        )


def whole_units(amount: float, total: float) -> float:
    """Return ``amount`` rounded down, but 1 where ``total`` allows it."""
    whole = math.floor(amount + EPSILON)
    return float(max(whole, min(1.0, total)))
