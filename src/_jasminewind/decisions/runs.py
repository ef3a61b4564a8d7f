"""State of submissions, their tasks and attempts in a coordinator."""

import typing

from _jasminewind import errors
from _jasminewind import resources
from _jasminewind.messages import tasks
from _jasminewind.messages import work

if typing.TYPE_CHECKING:
    from _jasminewind.decisions import fairness
    from _jasminewind.decisions import pools
    from _jasminewind.decisions import runtimes


class Run:
    """An accepted submission that is not answered yet."""

    __slots__ = (
        "submit",
        "team",
        "deadline_s",
        "tasks",
        "outputs",
        "done_count",
        "has_run",
        "answered",
        "is_request",
        "pool",
        "starts_by_location",
        "placed_count",
    )

    def __init__(
        self, submit: work.Submit, deadline_s: float, pool: "pools.Pool"
    ) -> None:
        self.submit = submit
        self.team = submit.team
        self.deadline_s = deadline_s
        self.pool = pool
        self.tasks: list[TaskRun] = []
        count = len(submit.tasks)
        self.outputs: list[work.TaskOutput | None] = [None] * count
        self.done_count = 0
        self.has_run = False
        self.answered = False
        self.is_request = submit.kind == work.WorkKind.REQUEST
        # Starts per failure domain and per rack, and in total.
        self.starts_by_location: dict[str, int] = {}
        self.placed_count = 0

    def outcome(self) -> errors.Outcome:
        """Return whether a failed submission has run or may have run."""
        if self.has_run:
            return errors.Outcome.FAILED_WHILE_RUNNING
        if any(task.live_attempts for task in self.tasks):
            return errors.Outcome.MAY_HAVE_RUN
        if any(task.may_have_run for task in self.tasks):
            return errors.Outcome.MAY_HAVE_RUN
        return errors.Outcome.NOT_RUN


class TaskRun:
    """One task of a submission."""

    __slots__ = (
        "run",
        "index",
        "task",
        "run_times",
        "demand",
        "amounts",
        "cost_s",
        "deadline_s",
        "waiting",
        "is_long",
        "finished",
        "may_have_run",
        "next_attempt",
        "live_attempts",
        "avoided_executors",
        "possible_runs",
        "queue",
        "queue_team",
        "queued_s",
    )

    def __init__(
        self,
        run: Run,
        index: int,
        task: work.Task,
        run_times: "runtimes.MethodTimes",
        demand: resources.Resources,
    ) -> None:
        self.run = run
        self.index = index
        self.task = task
        self.run_times = run_times
        self.demand = demand
        # ``demand`` in the order of ``resources.FIELDS``, for quick sums.
        self.amounts = (
            demand.slots,
            demand.cores,
            demand.memory_mb,
            demand.accelerators,
        )
        self.cost_s = 0.0
        self.deadline_s = run.deadline_s
        self.waiting = False
        self.is_long = False
        self.finished = False
        # An attempt ended without proof that it did not run.
        self.may_have_run = False
        self.next_attempt = 0
        self.live_attempts: list[Attempt] = []
        # Names of executors that the next attempt should avoid.
        self.avoided_executors: tuple[str, ...] = ()
        # Attempts that may have run; limited by ``retries.MAX_ATTEMPTS``.
        self.possible_runs = 0
        self.queue: "fairness.FairQueue[TaskRun] | None" = None
        self.queue_team = ""
        self.queued_s = 0.0


class Attempt:
    """A start sent to an executor, until its outcome is known."""

    __slots__ = (
        "key",
        "task",
        "executor",
        "sent_s",
        "check_s",
        "next_query_s",
        "send_order",
        "reported",
        "stop_requested",
        "is_long",
        "queries",
        "hedge_at_s",
        "seen_running",
    )

    def __init__(
        self,
        key: tasks.TaskKey,
        task: TaskRun,
        executor: "pools.ExecutorState",
        sent_s: float,
    ) -> None:
        self.key = key
        self.task = task
        self.executor = executor
        self.sent_s = sent_s
        self.check_s = 0.0
        self.next_query_s = 0.0
        self.send_order = 0
        # The load reports of the executor include this start.
        self.reported = False
        self.stop_requested = False
        self.is_long = task.is_long
        self.queries = 0
        self.hedge_at_s = 0.0
        self.seen_running = False
