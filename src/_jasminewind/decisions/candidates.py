"""Keepers that are compared for one task."""

from _jasminewind.decisions import pools
from _jasminewind.decisions import runs

# Keepers with room that are compared for one task.
MAX_COMPARED = 16
# Keepers that are looked at for one task, with or without room for it.
MAX_EXAMINED = 48


def find(
    pool: pools.Pool, task: runs.TaskRun, *, separate_long_work: bool
) -> list[pools.KeeperState]:
    """Return keepers that can take ``task`` now.

    Those that the task should avoid are returned only when no other has
    room.
    """
    found: list[pools.KeeperState] = []
    avoided: list[pools.KeeperState] = []
    misfits: list[pools.KeeperState] = []
    is_long = task.is_long and separate_long_work
    needs_spread = not task.run.is_request and task.run.placed > 0
    examined = 0
    for keeper in pool.open:
        examined += 1
        if not pool.binds_early and not (
            keeper.fits(task.amounts, is_long)
            or (not is_long and keeper.may_probe())
        ):
            misfits.append(keeper)
        elif task.avoid and keeper.node.name in task.avoid:
            avoided.append(keeper)
        else:
            found.append(keeper)
            if len(found) >= MAX_COMPARED and not pool.binds_early:
                if not needs_spread or spreads(found, task):
                    break
        if examined >= MAX_EXAMINED and not pool.binds_early:
            break
    for keeper in misfits:
        # Those at the end are looked at first next time.
        del pool.open[keeper]
        pool.open[keeper] = None
    return found or avoided


def spreads(found: list[pools.KeeperState], task: runs.TaskRun) -> bool:
    """Tell whether a candidate avoids a domain that holds the whole job."""
    run = task.run
    return any(
        run.spread.get(each.member.failure_domain, 0) < run.placed
        for each in found
    )
