"""Messages between a coordinator and a task executor.

Their field ``keeper`` is the process of the executor.
"""

import dataclasses
import enum

from _jasminewind import errors
from _jasminewind import members
from _jasminewind import resources
from _jasminewind.messages import work


@dataclasses.dataclass(frozen=True, order=True)
class TaskKey:
    """One attempt at one task of a submission.

    ``attempt`` is above 0 only for repeatable tasks and for tasks whose
    earlier attempt provably did not start.
    """

    work_id: str
    index: int
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskStart:
    """One task to start. ``budget_s`` is the time left for it."""

    key: TaskKey
    team: str
    task: work.Task
    budget_s: float
    is_long: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartTasks:
    """A coordinator asks an executor to start tasks. It is not resent."""

    keeper: members.NodeId
    starts: tuple[TaskStart, ...]
    config_version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskRefusal:
    """A start that the executor refused; it did not run and never will."""

    key: TaskKey
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TasksRefused:
    """Starts that an executor refused, with its load."""

    refusals: tuple[TaskRefusal, ...]
    load: members.Load


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskResult:
    """Result of one started task. ``error`` is ``None`` on success.

    ``used`` is the measured resource usage, if the worker reports it.
    """

    key: TaskKey
    run_s: float
    payload: str = ""
    error: errors.WorkError | None = None
    used: resources.Resources | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskResults:
    """Results of tasks; the executor resends them until acknowledged."""

    keeper: members.NodeId
    results: tuple[TaskResult, ...]
    load: members.Load


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResultsAck:
    """The coordinator has stored these results."""

    keys: tuple[TaskKey, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopTasks:
    """The coordinator no longer needs these tasks."""

    keys: tuple[TaskKey, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryTasks:
    """Ask an executor for the state of starts whose reply was lost."""

    keeper: members.NodeId
    keys: tuple[TaskKey, ...]


class TaskState(enum.StrEnum):
    """State of a task at its executor.

    ``NEVER_SEEN`` is final: the executor has recorded a tombstone and refuses
    the start if it arrives later.
    """

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    NEVER_SEEN = "never_seen"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskStatus:
    """State of one task at its executor; ``result`` is set when done."""

    key: TaskKey
    standing: TaskState
    result: TaskResult | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskStatuses:
    """Reply to ``QueryTasks``."""

    keeper: members.NodeId
    statuses: tuple[TaskStatus, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Load of an executor, if it changed without any other message."""

    keeper: members.NodeId
    load: members.Load


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """Measured usage of one task, which a worker reports with a lag."""

    key: TaskKey
    cores: float
    memory_mb: float
