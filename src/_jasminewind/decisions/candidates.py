"""Agents that are compared for one task."""

from _jasminewind.decisions import pools
from _jasminewind.decisions import runs

# Agents with room that are compared for one task.
MAX_COMPARED = 16
# Agents that are looked at for one task, with or without room for it.
MAX_EXAMINED = 48


def find(
    pool: pools.Pool, task: runs.TaskRun, *, separate_long_work: bool
) -> list[pools.AgentState]:
    """Return agents that can take ``task`` now.

    Those that the task should avoid are returned only when no other has
    room.
    """
    found: list[pools.AgentState] = []
    avoided: list[pools.AgentState] = []
    misfits: list[pools.AgentState] = []
    is_long = task.is_long and separate_long_work
    needs_spread = not task.run.is_request and task.run.placed_count > 0
    examined = 0
    for agent in pool.available:
        examined += 1
        if not pool.binds_early and not (
            agent.fits(task.amounts, is_long)
            or (not is_long and agent.can_queue_one())
        ):
            misfits.append(agent)
        elif task.avoided_agents and agent.node.name in task.avoided_agents:
            avoided.append(agent)
        else:
            found.append(agent)
            if len(found) >= MAX_COMPARED and not pool.binds_early:
                if not needs_spread or spreads(found, task):
                    break
        if examined >= MAX_EXAMINED and not pool.binds_early:
            break
    for agent in misfits:
        # Those at the end are looked at first next time.
        del pool.available[agent]
        pool.available[agent] = None
    return found or avoided


def spreads(found: list[pools.AgentState], task: runs.TaskRun) -> bool:
    """Tell whether a candidate avoids a domain that holds the whole job."""
    run = task.run
    return any(
        run.starts_by_location.get(each.member.failure_domain, 0)
        < run.placed_count
        for each in found
    )
