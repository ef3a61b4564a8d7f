"""Order in which waiting tasks of an entry start.

Tasks whose job can still be on time come first, by the latest start that
keeps it so. Then come late jobs, then overdue ones. In an overload this
serves as many jobs in time as there is room for, where the earliest
deadline alone would make every job a little late.
"""

import heapq
import itertools
import typing

from _jasminewind.decisions.jobs import tracking


class QueuedTask(typing.NamedTuple):
    """A waiting task with the latest start of its class."""

    latest_start_s: float
    sequence: int
    task: tracking.Task


ON_TIME, LATE, OVERDUE = range(3)


class Backlog:
    """Waiting tasks in the order of their start."""

    def __init__(self) -> None:
        self.heaps: tuple[list[QueuedTask], ...] = ([], [], [])
        self.sequence = itertools.count()
        self.size = 0
        self.core_s = 0.0

    def push(self, task: tracking.Task) -> None:
        """Let a task wait."""
        task.is_waiting = True
        self.size += 1
        self.core_s += work_core_s(task)
        remaining_path_s = task.job.remaining_path_s(task.step)
        latest_start_s = task.job.due_s - remaining_path_s
        self.insert(ON_TIME, latest_start_s, task)

    def insert(
        self, priority_class: int, latest_start_s: float, task: tracking.Task
    ) -> None:
        """Add an entry to the heap of a class."""
        entry = QueuedTask(latest_start_s, next(self.sequence), task)
        heapq.heappush(self.heaps[priority_class], entry)

    def remove(self, task: tracking.Task) -> None:
        """Take a task out of the order; its entry is skipped later."""
        if task.is_waiting:
            task.is_waiting = False
            self.size -= 1
            self.core_s -= work_core_s(task)
        if not self.size:
            self.core_s = 0.0

    def pop(self, now_s: float) -> tracking.Task | None:
        """Take the next task, or nothing when none waits."""
        self.demote(now_s)
        for heap in self.heaps:
            while heap:
                task = heapq.heappop(heap).task
                if task.is_waiting:
                    self.remove(task)
                    return task
        return None

    def demote(self, now_s: float) -> None:
        """Move tasks whose latest start has passed to the next class."""
        for priority_class in (ON_TIME, LATE):
            heap = self.heaps[priority_class]
            while heap and heap[0].latest_start_s < now_s:
                task = heapq.heappop(heap).task
                if task.is_waiting:
                    latest_start_s = task.job.overdue_s
                    latest_start_s -= task.job.remaining_path_s(task.step)
                    self.insert(priority_class + 1, latest_start_s, task)


def work_core_s(task: tracking.Task) -> float:
    """Return the estimated core-seconds of a task."""
    step_spec = task.step_spec
    return step_spec.need.cores * step_spec.estimate_s
