"""Choice of the long tasks to slow down while short work waits."""

import dataclasses

from _jasminewind import resources
from _jasminewind.decisions import capacity
from _jasminewind.messages import tasks

# Unthrottling waits this long after the last short task waited, so that
# orders to the worker do not alternate within a burst.
UNTHROTTLE_DELAY_S = 1.0


def freed_cores(allocation: capacity.Allocation) -> float:
    """Return the cores that throttling would free."""
    return allocation.amount.cores * (1.0 - capacity.THROTTLED_CORE_SHARE)


def tasks_to_throttle(
    state: capacity.Capacity, demand: resources.Resources
) -> tuple[tasks.TaskKey, ...]:
    """Return long tasks whose throttling makes room for ``demand``.

    Empty when nothing needs throttling or when throttling cannot help.
    """
    free = state.free()
    without_cores = dataclasses.replace(demand, cores=0.0)
    if not capacity.covers(free, without_cores):
        return ()
    candidates = [
        (freed_cores(allocation), key)
        for key, allocation in state.allocations.items()
        if allocation.is_long and not allocation.is_throttled
    ]
    candidates.sort(reverse=True)
    missing = demand.cores - free.cores
    chosen = []
    for freed, key in candidates:
        if missing <= capacity.EPSILON:
            break
        chosen.append(key)
        missing -= freed
    return tuple(chosen) if missing <= capacity.EPSILON else ()


def tasks_to_unthrottle(state: capacity.Capacity) -> tuple[tasks.TaskKey, ...]:
    """Return throttled tasks that the free cores can run at full speed."""
    free_cores = state.free().cores
    chosen = []
    for key, allocation in state.allocations.items():
        if not allocation.is_throttled:
            continue
        needed = freed_cores(allocation)
        if needed <= free_cores + capacity.EPSILON:
            chosen.append(key)
            free_cores -= needed
    return tuple(chosen)
