"""Validates jobs and requests before they are forwarded."""

import collections.abc
import dataclasses
import json
import math
import typing

import result
from google.protobuf import json_format
from google.protobuf import struct_pb2

from _jasminewind import changes
from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import ids
from _jasminewind import resources
from _jasminewind.api import connect
from _jasminewind.api.pb import work_pb2
from _jasminewind.messages import work
from _jasminewind.wire import frames

MAX_ID_AHEAD_MS = 60_000
DEFAULT_JOB_DEADLINE_S = 600.0
DEFAULT_REQUEST_DEADLINE_S = 30.0
DEFAULT_JOB_DEMAND = resources.Resources(cores=1.0, memory_mb=256.0)
MAX_AMOUNT = 1e9
CALL_TASK_NAME = "call"
# Quotes in a payload are escaped again inside a frame, which may double the
# size of a body. Bodies up to this size always fit and are not measured.
SIZE_CHECK_MIN_BYTES = frames.MAX_FRAME_BYTES // 4
FRAME_RESERVE_BYTES = 1_024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Reason for not forwarding a submission.

    ``is_permanent`` is true if the submission itself is invalid, so that no
    entry ever accepted it. Otherwise an earlier submission with the same id
    may have been accepted.
    """

    error: connect.CallError
    is_permanent: bool = True


ValidationResult = result.Result[work.Submit, Refusal]
NewId = collections.abc.Callable[[], str]


def permanent_refusal(field: str, reason: str, work_id: str = "") -> Refusal:
    """Return the refusal of a submission that was never valid."""
    return Refusal(error=connect.failure(reason, field=field, work_id=work_id))


def transient_refusal(
    field: str,
    reason: str,
    work_id: str,
    code: errors.Code = errors.Code.INVALID_ARGUMENT,
) -> Refusal:
    """Return the refusal of a submission that may once have been valid."""
    return Refusal(
        error=connect.failure(reason, code=code, field=field, work_id=work_id),
        is_permanent=False,
    )


def check_work_id(
    text: str, *, wall_ms: int, field: str = "id"
) -> connect.CallError | None:
    """Return the error for an id that is malformed or in the future."""
    parsed = ids.parse(text)
    if isinstance(parsed, result.Err):
        return connect.failure(
            f"{text[:64]!r} is {parsed.err_value.reason}", field=field
        )
    ahead_ms = ids.time_ms(parsed.ok_value) - wall_ms
    if ahead_ms > MAX_ID_AHEAD_MS:
        return connect.failure(
            f"was created {ahead_ms / 1000:.0f} s ahead of this system's "
            f"clock, at most {MAX_ID_AHEAD_MS // 1000} s; correct the clock "
            "of the client and create a new id with `jasminewind new-id`",
            field=field,
            work_id=parsed.ok_value,
        )
    return None


def id_or_new(
    text: str, *, wall_ms: int, new_id: NewId
) -> result.Result[str, Refusal]:
    """Return the caller's id, or a new one if it gave none."""
    if not text:
        return result.Ok(new_id())
    error = check_work_id(text, wall_ms=wall_ms)
    if error is not None:
        return result.Err(Refusal(error=error))
    return result.Ok(ids.parse(text).unwrap())


def submit_job(
    request: work_pb2.SubmitJobRequest,
    *,
    config: configuration.Configuration,
    wall_ms: int,
    timeout_s: float | None,
    body_bytes: int,
    new_id: NewId,
) -> ValidationResult:
    """Return the job to forward, or why it is refused."""
    work_id_result = id_or_new(request.id, wall_ms=wall_ms, new_id=new_id)
    if isinstance(work_id_result, result.Err):
        return result.Err(work_id_result.err_value)
    work_id = work_id_result.ok_value
    refusal = (
        check_tasks(request.tasks, work_id)
        or check_task_count(request, config, work_id)
        or check_team(request.team, config, work_id)
        or check_methods(request.tasks, config, work_id)
        or check_deadline(request.deadline_s, timeout_s, config, work_id)
    )
    if refusal is not None:
        return result.Err(refusal)
    return check_frame_size(
        work.Submit(
            work_id=work_id,
            kind=work.WorkKind.JOB,
            team=request.team,
            tasks=tuple(job_task(t, config) for t in request.tasks),
            budget_s=budget(
                request.deadline_s,
                timeout_s,
                min(DEFAULT_JOB_DEADLINE_S, config.limits.max_deadline_s),
            ),
            config_version=config.version,
        ),
        body_bytes,
    )


def call(
    request: work_pb2.CallRequest,
    *,
    config: configuration.Configuration,
    wall_ms: int,
    timeout_s: float | None,
    body_bytes: int,
    new_id: NewId,
) -> ValidationResult:
    """Return the request to forward, or why it is refused."""
    work_id_result = id_or_new(request.id, wall_ms=wall_ms, new_id=new_id)
    if isinstance(work_id_result, result.Err):
        return result.Err(work_id_result.err_value)
    work_id = work_id_result.ok_value
    refusal = (
        check_run_time("expected_s", request.expected_s, work_id)
        or check_team(request.team, config, work_id)
        or check_method("", request.service, request.method, config, work_id)
        or check_deadline(request.deadline_s, timeout_s, config, work_id)
    )
    if refusal is not None:
        return result.Err(refusal)
    task = work.Task(
        name=CALL_TASK_NAME,
        service=request.service,
        method=request.method,
        payload=payload_text(request.payload),
        expected_s=request.expected_s,
        repeatable=is_repeatable(request.service, request.method, config),
    )
    return check_frame_size(
        work.Submit(
            work_id=work_id,
            kind=work.WorkKind.REQUEST,
            team=request.team,
            tasks=(task,),
            budget_s=budget(
                request.deadline_s,
                timeout_s,
                min(DEFAULT_REQUEST_DEADLINE_S, config.limits.max_deadline_s),
            ),
            config_version=config.version,
        ),
        body_bytes,
    )


def check_frame_size(submit: work.Submit, body_bytes: int) -> ValidationResult:
    """Return ``submit`` if it fits into one frame between processes."""
    max_bytes = frames.MAX_FRAME_BYTES - FRAME_RESERVE_BYTES
    if body_bytes > SIZE_CHECK_MIN_BYTES:
        size = len(frames.encode(submit))
        if size > max_bytes:
            return result.Err(
                Refusal(
                    error=connect.failure(
                        f"takes {size} bytes when forwarded, at most "
                        f"{max_bytes}; send smaller payloads or fewer tasks",
                        code=errors.Code.RESOURCE_EXHAUSTED,
                        field="tasks",
                        work_id=submit.work_id,
                    )
                )
            )
    return result.Ok(submit)


def check_tasks(
    tasks: collections.abc.Sequence[work_pb2.Task], work_id: str
) -> Refusal | None:
    """Return the refusal of the first invalid task or task list."""
    if not tasks:
        return permanent_refusal(
            "tasks", "is empty; a job needs at least one task", work_id
        )
    if len(tasks) > changes.MAX_TASKS:
        return permanent_refusal(
            "tasks",
            f"has {len(tasks)} tasks, at most {changes.MAX_TASKS}; split the "
            "job",
            work_id,
        )
    seen: dict[str, int] = {}
    for i, task in enumerate(tasks):
        path = f"tasks[{i}]"
        refusal = check_task(path, task, work_id)
        if refusal is not None:
            return refusal
        if task.name in seen:
            return permanent_refusal(
                f"{path}.name",
                f"repeats {task.name!r} of tasks[{seen[task.name]}]; give "
                "each task of a job its own name",
                work_id,
            )
        seen[task.name] = i
    return None


def check_task(path: str, task: work_pb2.Task, work_id: str) -> Refusal | None:
    """Return the refusal of an invalid task."""
    if not 0 < len(task.name) <= changes.MAX_NAME_CHARS:
        return permanent_refusal(
            f"{path}.name",
            f"need 1 to {changes.MAX_NAME_CHARS} characters",
            work_id,
        )
    if not task.name.isprintable():
        return permanent_refusal(
            f"{path}.name", "need printable characters only", work_id
        )
    return check_run_time(
        f"{path}.expected_s", task.expected_s, work_id
    ) or check_demand(f"{path}.demand", task, work_id)


def check_run_time(field: str, value: float, work_id: str) -> Refusal | None:
    """Return the refusal of an invalid expected run time."""
    if math.isfinite(value) and 0 <= value <= changes.MAX_DEADLINE_S:
        return None
    return permanent_refusal(
        field,
        f"is {value:g}, need seconds from 0 to {changes.MAX_DEADLINE_S:g}",
        work_id,
    )


def check_demand(
    path: str, task: work_pb2.Task, work_id: str
) -> Refusal | None:
    """Return the refusal of an invalid resource demand."""
    if not task.HasField("demand"):
        return None
    demand = task.demand
    amounts = {
        "cores": demand.cores,
        "memory_mb": demand.memory_mb,
        "accelerators": demand.accelerators,
    }
    for name, value in amounts.items():
        if not (math.isfinite(value) and 0 <= value <= MAX_AMOUNT):
            return permanent_refusal(
                f"{path}.{name}",
                f"is {value:g}, need 0 to {MAX_AMOUNT:g}",
                work_id,
            )
    if not any(amounts.values()):
        return permanent_refusal(
            path,
            "is 0 in every amount; declare cores, memory_mb or "
            "accelerators, or leave demand out",
            work_id,
        )
    return None


def check_task_count(
    request: work_pb2.SubmitJobRequest,
    config: configuration.Configuration,
    work_id: str,
) -> Refusal | None:
    """Return the refusal of a job with more tasks than configured."""
    max_tasks = config.limits.max_tasks
    if len(request.tasks) <= max_tasks:
        return None
    return transient_refusal(
        "tasks",
        f"has {len(request.tasks)} tasks, at most {max_tasks}; split the job",
        work_id,
    )


def check_team(
    name: str, config: configuration.Configuration, work_id: str
) -> Refusal | None:
    """Return the refusal of an unknown team."""
    if not name:
        return permanent_refusal("team", "is empty; name your team", work_id)
    if config.team(name) is not None:
        return None
    known = [t.name for t in config.teams]
    return transient_refusal(
        "team",
        f"there is no team {name[:64]!r}{connect.suggestion(name, known)}",
        work_id,
    )


def check_methods(
    tasks: collections.abc.Sequence[work_pb2.Task],
    config: configuration.Configuration,
    work_id: str,
) -> Refusal | None:
    """Return the refusal of the first unknown service or method."""
    known: set[tuple[str, str]] = set()
    for i, task in enumerate(tasks):
        pair = (task.service, task.method)
        if pair in known:
            continue
        refusal = check_method(
            f"tasks[{i}].", task.service, task.method, config, work_id
        )
        if refusal is not None:
            return refusal
        known.add(pair)
    return None


def check_method(
    prefix: str,
    service: str,
    method: str,
    config: configuration.Configuration,
    work_id: str,
) -> Refusal | None:
    """Return the refusal of an unknown service or method."""
    found = config.service(service)
    if found is None:
        known = [s.name for s in config.services]
        return transient_refusal(
            f"{prefix}service",
            f"there is no service {service[:64]!r}"
            + connect.suggestion(service, known),
            work_id,
        )
    names = [m.name for m in found.methods]
    if method in names:
        return None
    return transient_refusal(
        f"{prefix}method",
        f"service {service!r} has no method {method[:64]!r}"
        + connect.suggestion(method, names),
        work_id,
    )


def check_deadline(
    deadline_s: float,
    timeout_s: float | None,
    config: configuration.Configuration,
    work_id: str,
) -> Refusal | None:
    """Return the refusal of a deadline that is past or too far ahead."""
    given: list[tuple[str, float]] = []
    if deadline_s != 0:
        given.append(("deadline_s", deadline_s))
    if timeout_s is not None:
        given.append((connect.TIMEOUT_HEADER, timeout_s))
    for field, value in given:
        if value <= 0:
            return transient_refusal(
                field,
                "the deadline has passed; give the time that is left",
                work_id,
                errors.Code.DEADLINE_EXCEEDED,
            )
        # Written with `not` so that NaN is refused as well.
        if not value <= config.limits.max_deadline_s:
            return transient_refusal(
                field,
                f"is {value:g} s, at most {config.limits.max_deadline_s:g} s",
                work_id,
            )
    return None


def budget(
    deadline_s: float, timeout_s: float | None, default_s: float
) -> float:
    """Return the seconds until the earlier of both deadlines."""
    given = [v for v in (deadline_s or None, timeout_s) if v is not None]
    return min(given, default=default_s)


def job_task(
    task: work_pb2.Task, config: configuration.Configuration
) -> work.Task:
    """Convert a task of a job to the form that is forwarded."""
    demand = DEFAULT_JOB_DEMAND
    if task.HasField("demand"):
        demand = resources.Resources(
            cores=task.demand.cores,
            memory_mb=task.demand.memory_mb,
            accelerators=task.demand.accelerators,
        )
    return work.Task(
        name=task.name,
        service=task.service,
        method=task.method,
        payload=payload_text(task.payload),
        demand=demand,
        expected_s=task.expected_s,
        repeatable=is_repeatable(task.service, task.method, config),
    )


def is_repeatable(
    service: str, method: str, config: configuration.Configuration
) -> bool:
    """Return whether the method is configured as safe to run twice."""
    found = config.service(service)
    methods = found.methods if found is not None else ()
    return any(m.name == method and m.repeatable for m in methods)


def payload_text(payload: struct_pb2.Struct) -> str:
    """Encode a payload as compact JSON."""
    return json.dumps(
        connect.restore_integers(json_format.MessageToDict(payload)),
        ensure_ascii=False,
        separators=(",", ":"),
    )


def payload_value(text: str) -> struct_pb2.Value:
    """Decode the output of an endpoint as a JSON value.

    Text that is not JSON, or that a ``Value`` cannot hold, is returned as
    a string, so that the caller loses nothing.
    """
    value = struct_pb2.Value()
    try:
        parsed: typing.Any = None
        if text:
            parsed = json.loads(
                text,
                parse_constant=connect.reject_constant,
                parse_int=connect.parse_exact_integer,
                parse_float=connect.parse_finite_number,
            )
        json_format.ParseDict(parsed, value)
    except (json_format.Error, ValueError, TypeError, RecursionError):
        value.Clear()
        value.string_value = text
    return value
