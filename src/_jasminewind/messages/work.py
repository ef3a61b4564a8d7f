"""Messages that carry jobs, requests and their answers."""

import dataclasses
import enum

from _jasminewind import errors
from _jasminewind import members
from _jasminewind import resources


class WorkKind(enum.StrEnum):
    """Jobs run on workers; requests run on the minions of a service."""

    JOB = "job"
    REQUEST = "request"


class WorkState(enum.StrEnum):
    """Life cycle of a job or a request."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Task:
    """One task of a job, or the only task of a request.

    ``payload`` is JSON text for the endpoint. ``expected_s`` is the run
    time that the caller declares, 0 when it declares none. ``method``
    names the kind of work, by which run times are learned.
    """

    name: str
    service: str
    method: str
    payload: str = "{}"
    demand: resources.Resources = resources.ONE_SLOT
    expected_s: float = 0.0
    repeatable: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Submit:
    """An entry forwards a job or a request to the owner of its shard.

    ``budget_s`` is the time left until the caller's deadline. With
    ``join_only`` the owner starts nothing: it joins the record of the id
    or answers what it knows. An id that it could still accept is refused
    as not run, and the refusal is remembered.
    """

    work_id: str
    kind: WorkKind
    team: str
    tasks: tuple[Task, ...]
    budget_s: float
    config_version: int
    join_only: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskOutput:
    """Result of one task: JSON text, and where and how long it ran."""

    name: str
    payload: str
    endpoint: str
    run_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """The whole answer to one submission.

    ``outputs`` is complete, one output for each task in the order of the
    submission, exactly when ``state`` is ``COMPLETE``; it is empty and
    ``error`` is set when ``state`` is ``FAILED``. ``replaces`` is the id
    that an entry made first and replaced before it was sent anywhere.
    """

    work_id: str
    state: WorkState
    outputs: tuple[TaskOutput, ...] = ()
    error: errors.WorkError | None = None
    replaces: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Redirect:
    """The receiver does not hold the interval of this id; see ``owner``."""

    work_id: str
    owner: members.NodeId | None
    address: members.Address | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancel:
    """The caller no longer wants the answer."""

    work_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryWork:
    """Ask an owner for the state of a job or a request."""

    work_id: str
    query_id: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkStatus:
    """Answer to ``QueryWork``; ``answer`` is set when it is finished.

    ``may_have_run`` goes with the state ``UNKNOWN`` and says that a process
    which could have accepted the id does not answer, so that nothing is
    proved. Without it, ``UNKNOWN`` means that no process has seen the id.
    """

    work_id: str
    query_id: int
    state: WorkState
    tasks_total: int = 0
    tasks_done: int = 0
    answer: Answer | None = None
    may_have_run: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExplainRequest:
    """Ask an agent for its recent decisions on a job or a request."""

    work_id: str
    query_id: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExplainReply:
    """Recent decision log entries, JSON text each, oldest first."""

    work_id: str
    query_id: int
    entries: tuple[str, ...]
