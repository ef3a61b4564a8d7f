"""Bin packing of job tasks on workers, spread over failure domains."""

import dataclasses

from _jasminewind import resources
from _jasminewind.decisions import pools
from _jasminewind.decisions import runs

MIN_RATIO = 0.5
MAX_RATIO = 4.0
# Largest relative change of a ratio by one usage report.
MAX_RATIO_CHANGE = 0.20
DEFAULT_CORES = 1.0
MAX_METHODS = 1_000
# Penalties when a failure domain or a rack would hold every task of a job.
SINGLE_DOMAIN_PENALTY = 100.0
SINGLE_RACK_PENALTY = 10.0
SPREAD_WEIGHT = 0.5
PACKING_WEIGHT = 0.2
# Keeps workers with accelerators free for the tasks that need them.
UNUSED_ACCELERATOR_PENALTY = 1.0


class UsageRatios:
    """Learned ratio of used to declared resources, per method."""

    def __init__(self) -> None:
        self.cores: dict[tuple[str, str], float] = {}
        self.memory: dict[tuple[str, str], float] = {}

    def observe(
        self,
        method: tuple[str, str],
        declared: resources.Resources,
        used: resources.Resources,
    ) -> None:
        """Update the ratios with what one task used."""
        if len(self.cores) >= MAX_METHODS and method not in self.cores:
            return
        if declared.cores > 0 and used.cores > 0:
            ratio = used.cores / declared.cores
            self.cores[method] = limit_change(
                self.cores.get(method, 1.0), ratio
            )
        if declared.memory_mb > 0 and used.memory_mb > 0:
            ratio = used.memory_mb / declared.memory_mb
            self.memory[method] = limit_change(
                self.memory.get(method, 1.0), ratio
            )

    def corrected(
        self,
        method: tuple[str, str],
        declared: resources.Resources,
        largest: resources.Resources,
    ) -> resources.Resources:
        """Return the corrected demand, at most that of the ``largest`` worker.

        An upward correction must not make a task impossible to place.
        """
        cores_ratio = self.cores.get(method, 1.0)
        memory_ratio = self.memory.get(method, 1.0)
        if cores_ratio == 1.0 and memory_ratio == 1.0:
            return declared
        cores = declared.cores * cores_ratio
        memory_mb = declared.memory_mb * memory_ratio
        return dataclasses.replace(
            declared,
            cores=min(cores, max(largest.cores, declared.cores)),
            memory_mb=min(
                memory_mb, max(largest.memory_mb, declared.memory_mb)
            ),
        )


def limit_change(current: float, observed: float) -> float:
    """Return ``current`` moved towards ``observed`` within the limits."""
    low = current * (1.0 - MAX_RATIO_CHANGE)
    high = current * (1.0 + MAX_RATIO_CHANGE)
    limited = min(max(observed, low), high)
    return min(max(limited, MIN_RATIO), MAX_RATIO)


def worker_demand(declared: resources.Resources) -> resources.Resources:
    """Return the demand of a task on a worker, which has no slots."""
    if declared.slots == 0.0 and declared.cores > 0.0:
        return declared
    demand = dataclasses.replace(declared, slots=0.0)
    if demand == resources.NOTHING:
        return resources.Resources(cores=DEFAULT_CORES)
    return demand


def elementwise_min(
    one: resources.Resources, other: resources.Resources
) -> resources.Resources:
    """Return the smaller amount of each resource."""
    return resources.Resources(
        slots=min(one.slots, other.slots),
        cores=min(one.cores, other.cores),
        memory_mb=min(one.memory_mb, other.memory_mb),
        accelerators=min(one.accelerators, other.accelerators),
    )


def fits_any_worker(demand: resources.Resources, pool: pools.Pool) -> bool:
    """Tell whether ``demand`` fits the full capacity of a known worker.

    True when no worker is known yet: the task may wait for one.
    """
    if not pool.capacities:
        return True
    return any(demand.fits(each) for each in pool.capacities)


def largest_worker(pool: pools.Pool) -> resources.Resources:
    """Return the largest amount of each resource on any worker."""
    capacities = pool.capacities
    if not capacities:
        return resources.NOTHING
    return resources.Resources(
        cores=max(each.cores for each in capacities),
        memory_mb=max(each.memory_mb for each in capacities),
        accelerators=max(each.accelerators for each in capacities),
    )


def penalty(executor: pools.ExecutorState, task: runs.TaskRun) -> float:
    """Return the placement penalty of a worker for a task."""
    run = task.run
    member = executor.member
    placed = run.placed_count
    value = 0.0
    if placed:
        in_domain = run.starts_by_location.get(member.failure_domain, 0)
        in_rack = run.starts_by_location.get(rack_key(executor), 0)
        if in_domain == placed:
            value += SINGLE_DOMAIN_PENALTY
        if in_rack == placed:
            value += SINGLE_RACK_PENALTY
        value += SPREAD_WEIGHT * (in_domain + in_rack) / placed
    capacity = executor.endpoint.capacity
    if capacity.cores > 0:
        left = (
            executor.free[1] - executor.unreported_demand[1] - task.amounts[1]
        )
        value += PACKING_WEIGHT * left / capacity.cores
    if capacity.accelerators > 0 and task.amounts[3] == 0.0:
        value += UNUSED_ACCELERATOR_PENALTY
    return value


def record_start(executor: pools.ExecutorState, run: runs.Run) -> None:
    """Count a start of a job's task in its failure domain and rack."""
    domain = executor.member.failure_domain
    rack = rack_key(executor)
    run.placed_count += 1
    run.starts_by_location[domain] = run.starts_by_location.get(domain, 0) + 1
    run.starts_by_location[rack] = run.starts_by_location.get(rack, 0) + 1


def rack_key(executor: pools.ExecutorState) -> str:
    """Return a key for the rack that cannot equal a failure domain."""
    return f"{executor.member.failure_domain}/{executor.member.rack}"
