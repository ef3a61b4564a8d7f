"""Choice of the long tasks to slow down while short work waits."""

import dataclasses

from _jasminewind import resources
from _jasminewind.decisions import capacity
from _jasminewind.messages import tasks

# Unthrottling waits this long after the last short task waited, so that
# orders to the worker do not alternate within a burst.
CALM_S = 1.0


def freed_cores(holding: capacity.Holding) -> float:
    """Return the cores that throttling would free."""
    return holding.held.cores * (1.0 - capacity.THROTTLED_SHARE)


def to_throttle(
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
        (freed_cores(holding), key)
        for key, holding in state.holdings.items()
        if holding.is_long and not holding.is_throttled
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


def to_unthrottle(state: capacity.Capacity) -> tuple[tasks.TaskKey, ...]:
    """Return throttled tasks that the free cores can run at full speed."""
    free_cores = state.free().cores
    chosen = []
    for key, holding in state.holdings.items():
        if not holding.is_throttled:
            continue
        needed = freed_cores(holding)
        if needed <= free_cores + capacity.EPSILON:
            chosen.append(key)
            free_cores -= needed
    return tuple(chosen)
