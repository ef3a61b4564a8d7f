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

    ``payload`` is JSON text for the endpoint. ``expected_s`` is the run time
    declared by the caller, or 0. ``method`` names the kind of work, by which
    run times are estimated.
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
    ``join_only`` the owner starts nothing: it attaches the sender to the
    record of the id or replies with what it knows. An id that it could still
    accept is refused as not run, and the refusal is stored.
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
    """Result of one task as JSON text, with its endpoint and run time."""

    name: str
    payload: str
    endpoint: str
    run_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """The complete answer to one submission.

    If and only if ``state`` is ``COMPLETE``, ``outputs`` holds one output for
    each task in the order of the submission. If ``state`` is ``FAILED``, it
    is empty and ``error`` is set. ``replaces`` is an id that the entry
    generated first and replaced before it sent it to any process.
    """

    work_id: str
    state: WorkState
    outputs: tuple[TaskOutput, ...] = ()
    error: errors.WorkError | None = None
    replaces: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Redirect:
    """The sender does not own the interval of this id; ``owner`` may."""

    work_id: str
    owner: members.NodeId | None
    address: members.Address | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancel:
    """The caller no longer wants the answer."""

    work_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryWork:
    """Ask an owner for the state of a job or a request.

    With ``refuse_unknown`` an id of which nothing has arrived is refused from
    then on. The sender may say that it was not run, because a copy that is
    still under way is refused too.
    """

    work_id: str
    query_id: int
    refuse_unknown: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkStatus:
    """Reply to ``QueryWork``; ``answer`` is set when it is finished.

    With the state ``UNKNOWN``, ``may_have_run`` means that a process which
    could have accepted the id does not reply, so that it may have run;
    otherwise no process has received the id.
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
