"""Packing of job tasks on workers."""

import dataclasses

from _jasminewind import resources
from _jasminewind.decisions import pools
from _jasminewind.decisions import runs

MIN_RATIO = 0.5
MAX_RATIO = 4.0
# One report must not move the factor further than this share.
MAX_RATIO_CHANGE = 0.20
DEFAULT_CORES = 1.0
MAX_METHODS = 1_000
# Added when a rack or a failure domain would hold every task of a job.
SINGLE_DOMAIN_PENALTY = 100.0
SINGLE_RACK_PENALTY = 10.0
SPREAD_WEIGHT = 0.5
PACKING_WEIGHT = 0.2
# Keeps accelerators free for the tasks that need them.
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
        """Take one report of what a task used."""
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
        """Return the size to pack with, at most the ``largest`` worker.

        A correction upwards must not make a task impossible to place.
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
    """Return ``factor`` moved towards ``ratio`` by at most one step."""
    low = current * (1.0 - MAX_RATIO_CHANGE)
    high = current * (1.0 + MAX_RATIO_CHANGE)
    moved = min(max(observed, low), high)
    return min(max(moved, MIN_RATIO), MAX_RATIO)


def worker_demand(declared: resources.Resources) -> resources.Resources:
    """Return what a task takes on a worker, which has no slots."""
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
    """Tell whether any known worker could ever hold ``demand``.

    Without any worker nothing is known, and the task may wait for one.
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
    """Return how badly a worker suits a task; lower is better."""
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
    """Count one task of a job on a worker."""
    domain = executor.member.failure_domain
    rack = rack_key(executor)
    run.placed_count += 1
    run.starts_by_location[domain] = run.starts_by_location.get(domain, 0) + 1
    run.starts_by_location[rack] = run.starts_by_location.get(rack, 0) + 1


def rack_key(executor: pools.ExecutorState) -> str:
    """Return a name of the rack that no failure domain has."""
    return f"{executor.member.failure_domain}/{executor.member.rack}"
