"""Priority queue of the tasks of an entry that are not placed yet.

Tasks of jobs that can still be on time come first, preferred ones before
others, each ordered by the latest start that keeps the job on time; then tasks
of late jobs that have started, so that less work is lost, of other late jobs
and of overdue jobs.
Under overload this completes as many jobs on time as the capacity allows,
where earliest deadline first would make every job a little late.
"""

import collections
import heapq
import itertools
import typing

from _jasminewind.decisions.jobs import queued_work
from _jasminewind.decisions.jobs import tracking


class QueuedTask(typing.NamedTuple):
    """A queued task with the latest start of its priority class.

    ``order_s`` is its place: the latest start less the lead of its job.
    """

    order_s: float
    sequence: int
    latest_start_s: float
    task: tracking.Task


PREFERRED, ON_TIME, LATE_STARTED, LATE, OVERDUE = range(5)


class ServiceWork:
    """Queued work of one service, of preferred and of other jobs."""

    def __init__(self) -> None:
        self.preferred = queued_work.QueuedWork()
        self.other = queued_work.QueuedWork()

    def of(self, job: tracking.Job) -> queued_work.QueuedWork:
        """Return the queued work to which a job belongs."""
        return self.preferred if job.is_preferred else self.other

    def is_waiting(self) -> bool:
        """Tell whether tasks wait for capacity alone."""
        return self.preferred.unconstrained + self.other.unconstrained > 0


class Backlog:
    """Queued tasks in the order in which they should start."""

    def __init__(self) -> None:
        # Whether late tasks of jobs that have started precede other late
        # tasks.
        self.is_started_first = True
        self.heaps: tuple[list[QueuedTask], ...] = ([], [], [], [], [])
        self.sequence = itertools.count()
        self.size = 0
        self.core_s = 0.0
        # The same work by service and latest start.
        self.work: dict[str, ServiceWork] = collections.defaultdict(
            ServiceWork
        )

    def push(self, task: tracking.Task, now_s: float) -> None:
        """Queue a task."""
        task.is_queued = True
        self.size += 1
        amount = work_of(task)
        self.core_s += amount.core_s
        remaining_path_s = task.job.remaining_path_s(task.step)
        latest_start_s = task.job.due_s - remaining_path_s
        work = self.work[task.job.spec.queue.service].of(task.job)
        order_s = latest_start_s - task.job.lead_s
        task.work_slot = work.add(order_s, amount, now_s)
        work.unconstrained += is_unconstrained(task)
        first_class = PREFERRED if task.job.is_preferred else ON_TIME
        self.insert(first_class, order_s, latest_start_s, task)

    def insert(
        self,
        priority_class: int,
        order_s: float,
        latest_start_s: float,
        task: tracking.Task,
    ) -> None:
        """Add a task to the heap of a priority class."""
        queued = QueuedTask(order_s, next(self.sequence), latest_start_s, task)
        heapq.heappush(self.heaps[priority_class], queued)

    def remove(self, task: tracking.Task) -> None:
        """Remove a task; its heap item is skipped when it is popped."""
        if task.is_queued:
            task.is_queued = False
            self.size -= 1
            amount = work_of(task)
            self.core_s -= amount.core_s
            work = self.work[task.job.spec.queue.service].of(task.job)
            work.remove(task.work_slot, amount)
            work.unconstrained -= is_unconstrained(task)
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
        for priority_class in (PREFERRED, ON_TIME, LATE_STARTED, LATE):
            heap = self.heaps[priority_class]
            while heap and heap[0].latest_start_s < now_s:
                task = heapq.heappop(heap).task
                if task.is_queued:
                    latest_start_s = task.job.overdue_s
                    latest_start_s -= task.job.remaining_path_s(task.step)
                    if priority_class > ON_TIME:
                        later_class = OVERDUE
                    elif self.is_started_first and task.job.has_started:
                        later_class = LATE_STARTED
                    else:
                        later_class = LATE
                    self.insert(
                        later_class, latest_start_s, latest_start_s, task
                    )


def work_of(task: tracking.Task) -> queued_work.Work:
    """Return the estimated work of a task."""
    step_spec = task.step_spec
    cores = step_spec.need.cores
    return queued_work.Work(cores * step_spec.estimate_s, cores)


def is_unconstrained(task: tracking.Task) -> bool:
    """Tell whether any endpoint with free capacity can run a task."""
    step_spec = task.step_spec
    return not step_spec.label and not step_spec.max_per_endpoint
