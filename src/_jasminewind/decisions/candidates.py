"""Selection of the executors that a routing policy compares for a task."""

from _jasminewind.decisions import pools
from _jasminewind.decisions import runs

# Executors with room that are compared for one task.
MAX_COMPARED = 16
# Executors examined for one task, with or without room for it.
MAX_EXAMINED = 48


def find(
    pool: pools.Pool, task: runs.TaskRun, *, separate_long_work: bool
) -> list[pools.ExecutorState]:
    """Return executors with room for ``task``.

    Executors that the task should avoid are returned only when no other
    has room.
    """
    found: list[pools.ExecutorState] = []
    avoided: list[pools.ExecutorState] = []
    misfits: list[pools.ExecutorState] = []
    is_long = task.is_long and separate_long_work
    needs_spread = not task.run.is_request and task.run.placed_count > 0
    examined = 0
    for executor in pool.available:
        examined += 1
        if not pool.binds_early and not (
            executor.fits(task.amounts, is_long)
            or (not is_long and executor.can_queue_one())
        ):
            misfits.append(executor)
        elif (
            task.avoided_executors
            and executor.node.name in task.avoided_executors
        ):
            avoided.append(executor)
        else:
            found.append(executor)
            if len(found) >= MAX_COMPARED and not pool.binds_early:
                if not needs_spread or has_spread_candidate(found, task):
                    break
        if examined >= MAX_EXAMINED and not pool.binds_early:
            break
    for executor in misfits:
        # Moved to the end, so that the others are examined first next time.
        del pool.available[executor]
        pool.available[executor] = None
    return found or avoided


def has_spread_candidate(
    found: list[pools.ExecutorState], task: runs.TaskRun
) -> bool:
    """Tell whether a candidate's failure domain holds only part of the job."""
    run = task.run
    return any(
        run.starts_by_location.get(each.member.failure_domain, 0)
        < run.placed_count
        for each in found
    )
