"""Priority queue of the tasks of an entry that are not placed yet.

Tasks of jobs that can still be on time come first, ordered by the latest
start that keeps the job on time; then tasks of late and of overdue jobs.
Under overload this completes as many jobs on time as the capacity allows,
where earliest deadline first would make every job a little late.
"""

import heapq
import itertools
import typing

from _jasminewind.decisions.jobs import tracking


class QueuedTask(typing.NamedTuple):
    """A queued task with the latest start of its priority class."""

    latest_start_s: float
    sequence: int
    task: tracking.Task


ON_TIME, LATE, OVERDUE = range(3)


class Backlog:
    """Queued tasks in the order in which they should start."""

    def __init__(self) -> None:
        self.heaps: tuple[list[QueuedTask], ...] = ([], [], [])
        self.sequence = itertools.count()
        self.size = 0
        self.core_s = 0.0

    def push(self, task: tracking.Task) -> None:
        """Queue a task."""
        task.is_queued = True
        self.size += 1
        self.core_s += work_core_s(task)
        remaining_path_s = task.job.remaining_path_s(task.step)
        latest_start_s = task.job.due_s - remaining_path_s
        self.insert(ON_TIME, latest_start_s, task)

    def insert(
        self, priority_class: int, latest_start_s: float, task: tracking.Task
    ) -> None:
        """Add a task to the heap of a priority class."""
        queued = QueuedTask(latest_start_s, next(self.sequence), task)
        heapq.heappush(self.heaps[priority_class], queued)

    def remove(self, task: tracking.Task) -> None:
        """Remove a task; its heap item is skipped when it is popped."""
        if task.is_queued:
            task.is_queued = False
            self.size -= 1
            self.core_s -= work_core_s(task)
        if not self.size:
            self.core_s = 0.0

    def pop(self, now_s: float) -> tracking.Task | None:
        """Remove and return the next task, or ``None`` if there is none."""
        self.demote(now_s)
        for heap in self.heaps:
            while heap:
                task = heapq.heappop(heap).task
                if task.is_queued:
                    self.remove(task)
                    return task
        return None

    def demote(self, now_s: float) -> None:
        """Move tasks past their latest start to the next priority class."""
        for priority_class in (ON_TIME, LATE):
            heap = self.heaps[priority_class]
            while heap and heap[0].latest_start_s < now_s:
                task = heapq.heappop(heap).task
                if task.is_queued:
                    latest_start_s = task.job.overdue_s
                    latest_start_s -= task.job.remaining_path_s(task.step)
                    self.insert(priority_class + 1, latest_start_s, task)


def work_core_s(task: tracking.Task) -> float:
    """Return the estimated core-seconds of a task."""
    step_spec = task.step_spec
    return step_spec.need.cores * step_spec.estimate_s
