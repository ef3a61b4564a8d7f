"""Jobs, tasks and runs as the entry that owns them tracks them."""

import dataclasses
import typing

from _jasminewind.decisions.jobs import specs
from _jasminewind.messages import runs

if typing.TYPE_CHECKING:
    from _jasminewind.decisions.jobs import agents

# A job that completes within this many times the time that its queue asks
# for is late but of use; after that it is overdue.
LATE_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """A run of a task that failed, and where and when."""

    agent: "agents.Agent"
    at_s: float

    def counts(self) -> bool:
        """Tell whether the task may be the cause, not its endpoint.

        An endpoint that was found faulty afterwards was so before.
        """
        was_ejected = self.agent.ejected_until_s > self.at_s
        return not was_ejected and not self.agent.ejections


class Task:
    """One task of a job; ``number`` is that of its last run."""

    def __init__(self, job: "Job", step: int, index: int) -> None:
        self.job = job
        self.step = step
        self.name = f"{job.spec.job}.0.{step}.{index}"
        self.number = 0
        self.failures: list[Failure] = []
        self.avoid: set[str] = set()
        self.checkpoint = ""
        self.is_waiting = False
        self.is_done = False
        self.run: Run | None = None

    def counted_failures(self) -> int:
        """Return the failures that no faulty endpoint explains."""
        return sum(1 for failure in self.failures if failure.counts())

    @property
    def shape(self) -> specs.Step:
        """Return the step that the task belongs to."""
        return self.job.spec.steps[self.step]


@dataclasses.dataclass
class Run:
    """A start of a task that has not ended, as far as is known.

    ``query_at_s`` is when its agent is asked what became of it.
    """

    key: runs.RunKey
    task: Task
    agent: "agents.Agent"
    sent_s: float
    query_at_s: float


class Job:
    """A job that was accepted and not yet answered.

    ``due_s`` is when it should have completed, ``late_s`` when completing
    it is of no more use, and ``caller_deadline_s`` when its caller gives up.
    """

    def __init__(self, spec: specs.JobSpec, now_s: float) -> None:
        self.spec = spec
        self.arrived_s = now_s
        goal_s = (
            spec.queue.stretch * spec.critical_path_s()
            + spec.queue.allowance_s
        )
        self.due_s = now_s + goal_s
        self.late_s = now_s + LATE_FACTOR * goal_s
        self.caller_deadline_s = float("inf")
        if spec.caller_timeout_s:
            self.caller_deadline_s = now_s + spec.caller_timeout_s
        self.left = [step.count for step in spec.steps]
        self.opened = [False] * len(spec.steps)
        self.tasks: list[Task] = []
        self.has_started = False
        self.is_ended = False
        self.answer: specs.JobAnswer | None = None

    def open_steps(self) -> list[Task]:
        """Return the tasks of the steps whose turn has come."""
        ready = []
        for number, step in enumerate(self.spec.steps):
            if self.opened[number]:
                continue
            if any(self.left[earlier] for earlier in step.after):
                continue
            self.opened[number] = True
            ready += [Task(self, number, i) for i in range(step.count)]
        self.tasks += ready
        return ready

    def take_done(self, task: Task) -> bool:
        """Note a task that is done; tell whether its step is."""
        task.is_done = True
        self.left[task.step] -= 1
        return not self.left[task.step]

    @property
    def is_complete(self) -> bool:
        """Tell whether every task is done."""
        return not any(self.left)

    def remaining_s(self, step: int) -> float:
        """Return the estimated time from a step to the end of the job."""
        after = [
            self.remaining_s(later)
            for later, shape in enumerate(self.spec.steps)
            if step in shape.after
        ]
        own_s = self.spec.steps[step].estimate_s
        return own_s + max(after, default=0.0)
