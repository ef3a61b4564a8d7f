"""Factories of work ids and task starts for tests."""

import json
import random

from _jasminewind import ids
from _jasminewind import resources
from _jasminewind.messages import tasks
from _jasminewind.messages import work

WALL_MS = 1_800_000_000_000


def work_id(seed: int, *, wall_ms: int = WALL_MS) -> str:
    """Return the work id that belongs to ``seed``."""
    return ids.new(wall_ms=wall_ms, rng=random.Random(seed))


def task_start(
    seed: int,
    *,
    index: int = 0,
    attempt: int = 0,
    run_s: float = 0.01,
    fail: bool = False,
    budget_s: float = 30.0,
    is_long: bool = False,
    demand: resources.Resources = resources.ONE_SLOT,
    wall_ms: int = WALL_MS,
) -> tasks.TaskStart:
    """Return the start of a simulated task."""
    payload = json.dumps({"run_s": run_s, "fail": fail})
    return tasks.TaskStart(
        key=tasks.TaskKey(work_id(seed, wall_ms=wall_ms), index, attempt),
        team="crew",
        task=work.Task(
            name=f"task-{seed}",
            service="hutch-orders",
            method="quote",
            payload=payload,
            demand=demand,
        ),
        budget_s=budget_s,
        is_long=is_long,
    )
