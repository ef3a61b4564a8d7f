"""Tasks that wait for capacity near their data."""

import bisect
import dataclasses
import enum
import heapq
import itertools
import typing

from _jasminewind import resources
from _jasminewind.decisions.jobs import agents
from _jasminewind.decisions.jobs import backlog
from _jasminewind.decisions.jobs import local_waits
from _jasminewind.decisions.jobs import tracking

# Tasks of a rack that are passed over as they need more than an agent has
# free, so that smaller tasks behind them can start there.
MAX_PASSED_TASKS = 16


class WaitOutcome(enum.StrEnum):
    """How a wait ended.

    ``LOCAL``: with local capacity. ``EXPIRED``: at its limit. ``HOPELESS``:
    local capacity is no longer expected in time. ``UNUSABLE``: no endpoint of
    the rack can be used. ``OVERLOAD``: capacity is short everywhere.
    ``REMOTE``: a start elsewhere was better after all. ``ANSWERED``: the job
    was answered meanwhile.
    """

    LOCAL = "local"
    EXPIRED = "expired"
    HOPELESS = "hopeless"
    UNUSABLE = "unusable"
    OVERLOAD = "overload"
    REMOTE = "remote"
    ANSWERED = "answered"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndedWait:
    """A wait that has ended, after ``waited_s``."""

    task: tracking.Task
    wait: local_waits.Wait
    waited_s: float
    outcome: WaitOutcome


class Waiting(typing.NamedTuple):
    """A waiting task, in the order in which tasks should start."""

    latest_start_s: float
    sequence: int
    task: tracking.Task


class Expiry(typing.NamedTuple):
    """When the wait of a task ends at the latest."""

    until_s: float
    sequence: int
    task: tracking.Task


class WaitingTasks:
    """Waiting tasks by rack, and the ends of their waits.

    A task is here only while it waits, and not in the backlog.
    """

    def __init__(self) -> None:
        self.by_rack: dict[str, list[Waiting]] = {}
        self.places: dict[str, Waiting] = {}
        self.expiries: list[Expiry] = []
        self.sequence = itertools.count()
        self.core_s = 0.0

    @property
    def size(self) -> int:
        """Return how many tasks wait."""
        return len(self.places)

    def add(self, task: tracking.Task, wait: local_waits.Wait) -> None:
        """Let a task wait."""
        task.wait = wait
        job = task.job
        waiting = Waiting(
            job.due_s - job.remaining_path_s(task.step),
            next(self.sequence),
            task,
        )
        self.places[task.name] = waiting
        bisect.insort(self.by_rack.setdefault(wait.rack, []), waiting)
        heapq.heappush(
            self.expiries, Expiry(wait.until_s, waiting.sequence, task)
        )
        self.core_s += backlog.work_of(task).core_s

    def holds(self, task: tracking.Task) -> bool:
        """Tell whether a task waits."""
        waiting = self.places.get(task.name)
        return waiting is not None and waiting.task is task

    def remove(self, task: tracking.Task) -> None:
        """Remove a task; its expiry is skipped later."""
        waiting = self.places.pop(task.name)
        assert task.wait is not None
        queue = self.by_rack[task.wait.rack]
        del queue[bisect.bisect_left(queue, waiting)]
        if not queue:
            del self.by_rack[task.wait.rack]
        self.core_s -= backlog.work_of(task).core_s
        if not self.places:
            self.core_s = 0.0
            self.expiries.clear()

    def waiting_for(self, rack: str) -> typing.Iterator[tracking.Task]:
        """Yield the tasks that wait for a rack, the most urgent first."""
        for waiting in self.by_rack.get(rack, ()):
            yield waiting.task

    def take_expired(self, now_s: float) -> list[tracking.Task]:
        """Remove and return the tasks whose wait ends now."""
        found = []
        while self.has_expired(now_s):
            expiry = heapq.heappop(self.expiries)
            self.remove(expiry.task)
            found.append(expiry.task)
        return found

    def has_expired(self, now_s: float) -> bool:
        """Tell whether a wait has reached its limit."""
        while self.expiries:
            expiry = self.expiries[0]
            waiting = self.places.get(expiry.task.name)
            if waiting is not None and waiting.sequence == expiry.sequence:
                return expiry.until_s <= now_s
            heapq.heappop(self.expiries)
        return False

    def take_fitting(
        self, agent: agents.Agent, free: resources.Resources
    ) -> list[tracking.Task]:
        """Remove and return tasks that fit together into ``free``.

        They wait for a rack of the endpoint of ``agent``.
        """
        found = []
        labels = () if agent.endpoint is None else agent.endpoint.labels
        for rack in labels:
            passed = 0
            for task in self.waiting_for(rack):
                if passed >= MAX_PASSED_TASKS:
                    break
                need = task.step_spec.need
                if need.fits(free):
                    free -= need
                    found.append(task)
                else:
                    passed += 1
        for task in found:
            self.remove(task)
        return found
