"""State of jobs, tasks and runs at the entry that owns them."""

import collections
import dataclasses
import typing

from _jasminewind import members
from _jasminewind.decisions.jobs import specs
from _jasminewind.messages import runs

if typing.TYPE_CHECKING:
    from _jasminewind.decisions.jobs import agents
    from _jasminewind.decisions.jobs import local_waits

# A job that completes within this many times its target time is late but
# still useful; after that it is overdue.
LATE_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """A failed run of a task."""

    agent: "agents.Agent"
    at_s: float

    def counts_against_task(self) -> bool:
        """Tell whether the task, not the endpoint, may be at fault.

        An endpoint that was ejected later was probably faulty already.
        """
        was_ejected = self.agent.ejected_until_s > self.at_s
        return not was_ejected and not self.agent.ejections


class Task:
    """A task of a job; ``number`` is the number of its last run."""

    def __init__(self, job: "Job", step: int, index: int) -> None:
        self.job = job
        self.step = step
        self.name = f"{job.spec.job}.0.{step}.{index}"
        self.number = 0
        self.failures: list[Failure] = []
        self.avoided_agents: set[str] = set()
        self.checkpoint = ""
        self.is_queued = False
        # Where its queued work is counted, see ``queued_work``.
        self.work_slot = 0
        self.is_done = False
        self.run: Run | None = None
        # The wait for capacity near the data, and whether it has ended.
        self.wait: "local_waits.Wait | None" = None
        self.has_waited = False

    def begin_run(self, run: "Run") -> None:
        """Record a run of the task."""
        self.run = run
        self.job.run_counts[self.step, run.agent.node] += 1

    def end_run(self) -> None:
        """Record that the run of the task has ended."""
        if self.run is not None:
            self.job.run_counts[self.step, self.run.agent.node] -= 1
            self.run = None

    def counted_failures(self) -> int:
        """Return how many failures count against the task."""
        return sum(
            1 for failure in self.failures if failure.counts_against_task()
        )

    @property
    def step_spec(self) -> specs.Step:
        """Return the step that the task belongs to."""
        return self.job.spec.steps[self.step]


@dataclasses.dataclass
class Run:
    """A run of a task whose end has not been reported.

    ``next_query_s`` is when the agent is asked for its state. ``expected_s``
    is the run time that was expected when it was ordered, with the slowdown of
    its kind of work.
    """

    key: runs.RunKey
    task: Task
    agent: "agents.Agent"
    sent_s: float
    next_query_s: float
    expected_s: float = 0.0
    kind_slowdown: float = 1.0


class Job:
    """A job that was accepted and not yet answered.

    ``due_s`` is its target completion time, ``overdue_s`` the time after
    which completing it is useless, and ``caller_deadline_s`` the time at
    which its caller stops waiting.
    """

    def __init__(self, spec: specs.JobSpec, now_s: float) -> None:
        self.spec = spec
        self.arrived_s = now_s
        # Its tasks are queued as if it had arrived this much earlier, or
        # before all tasks of other jobs.
        self.lead_s = 0.0
        self.is_preferred = False
        goal_s = (
            spec.queue.stretch * spec.critical_path_s + spec.queue.allowance_s
        )
        self.due_s = now_s + goal_s
        self.overdue_s = now_s + LATE_FACTOR * goal_s
        self.caller_deadline_s = float("inf")
        if spec.caller_timeout_s:
            self.caller_deadline_s = now_s + spec.caller_timeout_s
        # For each step: tasks that are not done, and steps it waits for.
        self.unfinished_tasks = [step.count for step in spec.steps]
        self.open_prerequisites = list(spec.graph.prerequisite_counts)
        self.unfinished_steps = len(spec.steps)
        self.ready_steps = [
            number
            for number, count in enumerate(self.open_prerequisites)
            if not count
        ]
        self.tasks: list[Task] = []
        # Runs by step and agent.
        self.run_counts: collections.Counter[tuple[int, members.NodeId]] = (
            collections.Counter()
        )
        self.has_started = False
        self.is_answered = False
        self.answer: specs.JobAnswer | None = None

    def take_ready_tasks(self) -> list[Task]:
        """Create the tasks of the steps that are ready, and return them."""
        steps, self.ready_steps = self.ready_steps, []
        ready = [
            Task(self, number, index)
            for number in steps
            for index in range(self.spec.steps[number].count)
        ]
        self.tasks += ready
        return ready

    def mark_done(self, task: Task) -> bool:
        """Mark a task as done; tell whether its whole step is."""
        task.is_done = True
        self.unfinished_tasks[task.step] -= 1
        if self.unfinished_tasks[task.step]:
            return False
        self.unfinished_steps -= 1
        for later in self.spec.graph.dependents[task.step]:
            self.open_prerequisites[later] -= 1
            if not self.open_prerequisites[later]:
                self.ready_steps.append(later)
        return True

    @property
    def is_complete(self) -> bool:
        """Tell whether every task is done."""
        return not self.unfinished_steps

    def remaining_path_s(self, step: int) -> float:
        """Return the estimated time from the start of a step to the end."""
        return self.spec.graph.remaining_path_s[step]
