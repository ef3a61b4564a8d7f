"""HTTP bodies of the users' platform and their conversion to internal types.

The platform's field names occur only in this package. Comments explain
fields whose names are misleading.
"""

import typing

import msgspec
import result

from _jasminewind import errors
from _jasminewind import json_input
from _jasminewind import resources
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import specs
from _jasminewind.messages import runs

JSON_TYPE = "application/json"
INSTANCE_HEADER = "X-Expected-Instance"
DEADLINE_HEADER = "X-Deadline-Milliseconds"

MACHINE_START_PATH = "/-/run-start"
MACHINE_STOP_PATH = "/-/run-stop"
MACHINE_RENEW_PATH = "/-/hold"
HEARTBEAT_PREFIX = "/-/Instances.Heartbeat/"
LEAVE_PREFIX = "/-/Instances.Leave/"

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"

# Limits on values of other writers. What is beyond them is a mistake, and
# some of it could not be encoded again.
MAX_NAME_CHARS = 200
MAX_TEXT_CHARS = 10_000
MAX_LABELS = 100
MAX_MILLISECONDS = 10**13
MAX_AMOUNT = 10**12
MAX_COUNT = 10**9
# 500 ends with their checkpoints fit into one message to an entry.
MAX_CHECKPOINT_CHARS = 1_000
Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]
Factor = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
Labels = typing.Annotated[
    tuple[Name, ...], msgspec.Meta(max_length=MAX_LABELS)
]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
Duration = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Version = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Number = typing.Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Percent = typing.Annotated[float, msgspec.Meta(ge=0, le=100)]
Checkpoint = typing.Annotated[
    str, msgspec.Meta(max_length=MAX_CHECKPOINT_CHARS)
]
decode = json_input.decode
NULL = b"null"
# Level of the lists of rows in a body, which is an object.
ROWS_LEVEL = 2
T = typing.TypeVar("T")


def decode_with_rows(
    text: bytes, kind: type[T]
) -> result.Result[T, errors.WireError]:
    """Decode a body with lists of undecoded rows.

    A row that is no JSON does not make the others unreadable; it is ``null``.
    """
    decoded = decode(text, kind)
    if decoded.is_ok():
        return decoded
    return decode(json_input.replace_malformed(text, ROWS_LEVEL), kind)


class Body(msgspec.Struct, rename="kebab", kw_only=True):
    """Base of all bodies: kebab-case fields, unknown fields are ignored."""


class OutgoingBody(Body, omit_defaults=True):
    """Base of bodies that omit fields with default values."""


# Jobs


class StepBody(Body):
    """One step of a job; omitted fields have no effect."""

    count: Count
    cpu_millicores: Amount = 0
    memory_request_mb: Amount = 0
    gpus: Amount = 0
    estimated_ms: Duration = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    rack_sensitive: bool = False
    # The one label that the endpoint must have.
    requirements: str = ""
    data_rack: str = ""
    max_per_server: Count = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_miss: int = 0

    def unsupported_feature(self) -> str:
        """Return the first feature that agents do not support, or ''."""
        for name in ("gang", "long_running", "fills"):
            if getattr(self, name):
                return name.replace("_", "-")
        return ""

    def to_step(self) -> specs.Step:
        """Convert to the internal type."""
        return specs.Step(
            count=self.count,
            need=to_resources(self),
            estimate_s=self.estimated_ms / 1000,
            after=self.after,
            label=self.requirements,
            data_rack=self.data_rack,
            one_rack=self.rack_sensitive,
            max_per_endpoint=self.max_per_server,
            can_checkpoint=self.checkpointing,
        )


class JobBody(Body):
    """Submission of a job."""

    specification: str
    steps: tuple[StepBody, ...]
    best_effort: bool = False
    first_run_ms: int = 0
    interval_ms: int = 0
    repetitions: int = 0

    def unsupported_feature(self) -> str:
        """Return the first unsupported feature, or ''."""
        if not self.best_effort:
            return "a job that must be stored"
        if self.repetitions:
            return "repetitions"
        return next((s.unsupported_feature() for s in self.steps), "")

    def validation_error(self) -> str:
        """Return what is invalid in the job, or ''."""
        if not self.steps:
            return "a job needs at least one step"
        if sum(step.count for step in self.steps) > specs.MAX_TASKS:
            return f"a job has at most {specs.MAX_TASKS} tasks"
        for number, step in enumerate(self.steps):
            if step.count < 1:
                return f"step {number} needs a count of 1 or more"
            if any(not 0 <= earlier < number for earlier in step.after):
                return f"step {number} may depend only on earlier steps"
        return ""


class Amounts(Body):
    """Amounts of CPU, memory and accelerators."""

    cpu_millicores: Amount = 0
    memory_request_mb: Amount = 0
    gpus: Amount = 0


def to_resources(body: StepBody | Amounts) -> resources.Resources:
    """Convert to the internal type."""
    return resources.Resources(
        cores=body.cpu_millicores / 1000,
        memory_mb=float(body.memory_request_mb),
        accelerators=float(body.gpus),
    )


# Configuration


class RouteBody(Body):
    """A queue of the configuration, which the platform calls a route."""

    name: Text
    host: Text
    prefix: Text
    service: Text
    timeout_ms: Duration = 0
    # Added to the stretched run time of the job; not the whole target.
    target_completion_ms: Duration = 0
    priority: Number = 0
    attempt_limit: Number = 1
    stretch: Factor = 1.0

    def to_queue(self) -> specs.Queue:
        """Convert to the internal type."""
        return specs.Queue(
            name=self.name,
            host=self.host,
            prefix=self.prefix,
            service=self.service,
            stretch=self.stretch,
            allowance_s=self.target_completion_ms / 1000,
            priority=self.priority,
            attempt_limit=max(self.attempt_limit, 1),
            timeout_s=self.timeout_ms / 1000,
        )


class LimitsBody(Body):
    """Limits on requests of callers."""

    header_bytes: Count = 16_384
    body_bytes: Count = 262_144
    header_timeout_ms: Duration = 3_000
    idle_timeout_ms: Duration = 15_000

    def to_limits(self) -> specs.JobLimits:
        """Convert to the internal type."""
        return specs.JobLimits(
            header_bytes=self.header_bytes,
            body_bytes=self.body_bytes,
            header_timeout_s=self.header_timeout_ms / 1000,
            idle_timeout_s=self.idle_timeout_ms / 1000,
        )


class ConfigBody(Body):
    """The configuration that operators write; its parts are undecoded."""

    version: Version
    routes: tuple[msgspec.Raw, ...]
    limits: msgspec.Raw = msgspec.Raw(b"{}")


class ReadConfiguration(typing.NamedTuple):
    """A configuration without the parts that cannot be read, and why."""

    configuration: specs.JobConfiguration
    mistakes: tuple[str, ...]


def read_configuration(
    value: bytes,
) -> result.Result[ReadConfiguration, errors.WireError]:
    """Read the configuration; each odd part is passed over alone.

    One that lists routes of which none can be read is not used, as it would
    remove every queue.
    """
    return decode_with_rows(value, ConfigBody).and_then(convert_configuration)


def convert_configuration(
    body: ConfigBody,
) -> result.Result[ReadConfiguration, errors.WireError]:
    """Convert what can be read of a configuration."""
    queues = []
    mistakes = []
    for number, text in enumerate(body.routes):
        route = decode(bytes(text), RouteBody)
        if route.is_ok():
            queues.append(route.unwrap().to_queue())
        else:
            mistakes.append(f"routes[{number}]: {route.unwrap_err().reason}")
    if body.routes and not queues:
        return result.Err(errors.WireError(reason=mistakes[0]))
    limits = decode(bytes(body.limits), LimitsBody)
    if limits.is_err():
        mistakes.append(f"limits: {limits.unwrap_err().reason}")
    configuration = specs.JobConfiguration(
        version=body.version,
        queues=tuple(queues),
        limits=limits.unwrap_or(LimitsBody()).to_limits(),
    )
    return result.Ok(ReadConfiguration(configuration, tuple(mistakes)))


class RouteServiceBody(Body):
    """The service that runs the tasks of a queue."""

    service: Text = ""


class ServiceBody(Body):
    """A service of the configuration."""

    name: Text = ""


class ServicesBody(Body):
    """The part of the configuration that names services."""

    routes: tuple[msgspec.Raw, ...] = ()
    services: tuple[msgspec.Raw, ...] = ()

    def names(self) -> frozenset[str]:
        """Return the names of all services that can be read."""
        routes = (
            decode(bytes(each), RouteServiceBody) for each in self.routes
        )
        services = (decode(bytes(each), ServiceBody) for each in self.services)
        used = {each.unwrap().service for each in routes if each.is_ok()}
        named = {each.unwrap().name for each in services if each.is_ok()}
        return frozenset(used | named)


# Endpoints


class HeartbeatBody(Body):
    """Heartbeat of an endpoint."""

    service: Name
    address: Name
    zone: Name
    state: typing.Literal["ready", "draining"]
    capacity: Amounts
    sequence: typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
    clock_ms: Milliseconds
    labels: Labels = ()
    # Start time in Unix ms; absent if names are never reused.
    born: Milliseconds = 0
    # Undecoded: an unreadable time must not hide that the endpoint drains.
    drain_remaining_ms: msgspec.Raw = msgspec.Raw(NULL)

    def drain_remaining_s(
        self,
    ) -> result.Result[float | None, errors.WireError]:
        """Return how long a draining endpoint stays, ``None`` if unknown."""
        text = bytes(self.drain_remaining_ms)
        if self.state != "draining" or text == NULL:
            return result.Ok(None)
        return decode(text, Duration).map(lambda found: found / 1000)

    def to_record(self, name: str) -> runs.EndpointRecord:
        """Return the record of the endpoint called ``name``."""
        return runs.EndpointRecord(
            name=name,
            born_ms=self.born,
            service=self.service,
            failure_domain=self.zone,
            capacity=to_resources(self.capacity),
            labels=self.labels,
        )


class StartBody(OutgoingBody):
    """Request to start a run."""

    task: str
    run: int
    specification: str
    # Lease expiry on the endpoint's clock; the endpoint must not start the
    # run after it.
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""


class StopBody(Body):
    """Request to stop a run."""

    task: str
    run: int
    fencing_token: int


class RenewBody(OutgoingBody):
    """Request to renew the lease of all running work.

    ``last_seen`` acknowledges ended runs up to this number. The endpoint
    may delay its response by ``wait_ms``.
    """

    fencing_token: int
    last_seen: int | None = None
    deadline_ms: int = 0
    wait_ms: int = 0


class AnswerBody(Body):
    """Response to a start or a stop."""

    clock_ms: Milliseconds = 0
    reason: str = ""


class Row(msgspec.Struct, array_like=True):
    """Base of rows, whose fields are decoded by position."""


class RunningRow(Row):
    """Running work; only its name and number are certain to be readable."""

    task: Name
    run: Count
    checkpoint: msgspec.Raw = msgspec.Raw()
    percent: msgspec.Raw = msgspec.Raw()


class EndedRow(Row):
    """Ended work; only its first three fields are certain to be readable."""

    number: Count
    task: Name
    run: Count
    how: msgspec.Raw = msgspec.Raw()
    checkpoint: msgspec.Raw = msgspec.Raw()


class StateBody(Body):
    """Response to a renewal; each row is decoded alone."""

    clock_ms: Milliseconds
    running: tuple[msgspec.Raw, ...] = ()
    ended: tuple[msgspec.Raw, ...] = ()
    born: Milliseconds = 0


class WholeRunningRow(Row):
    """Running work of which everything can be read."""

    task: Name
    run: Count
    checkpoint: Checkpoint
    percent: Percent


class WholeEndedRow(Row):
    """Ended work of which everything can be read."""

    number: Count
    task: Name
    run: Count
    how: typing.Literal[
        "done", "failed", "stopped", "lapsed", "broken", "alone"
    ]
    checkpoint: Checkpoint


class WholeStateBody(Body):
    """Response to a renewal of which every row can be read."""

    clock_ms: Milliseconds
    running: tuple[WholeRunningRow, ...] = ()
    ended: tuple[WholeEndedRow, ...] = ()
    born: Milliseconds = 0


# The endpoint lists at most this many ended runs in one response.
MAX_LISTED_ENDS = 500
RUN_OUTCOMES: dict[str, runs.RunOutcome] = {
    "done": runs.RunOutcome.DONE,
    "failed": runs.RunOutcome.FAILED,
    "stopped": runs.RunOutcome.STOPPED,
    "lapsed": runs.RunOutcome.LAPSED,
    # Ended with its gang, not because of the task itself.
    "broken": runs.RunOutcome.LAPSED,
    "alone": runs.RunOutcome.LAPSED,
}
CONFLICT_OUTCOMES = {
    "fence": actions.CallOutcome.FENCED,
    "old": actions.CallOutcome.OUTDATED,
    "late": actions.CallOutcome.LATE,
    "room": actions.CallOutcome.NO_ROOM,
}


# The store


class RowBody(Body):
    """A row; ``value`` is base64."""

    table: Name = ""
    part: Name = ""
    key: Name = ""
    value: str = ""
    version_number: Version = 0
    # Set in a change feed when the row was deleted.
    deleted: bool = False


class RowsBody(Body):
    """Rows, and the newest version of the whole store.

    Each row is decoded alone as a :class:`RowBody`.
    """

    rows: tuple[msgspec.Raw, ...] = ()
    has_more: bool = False
    version_number: Version = 0


class PutBody(Body):
    """A row to write; ``value`` is base64."""

    table: str
    key: str
    value: str
    part: str = ""


class ExpectedBody(Body):
    """Condition of a transaction; version 0 means that there is no row."""

    table: str
    key: str
    version_number: int
    part: str = ""


class WriteBody(Body):
    """A transaction, which takes effect only if its conditions hold."""

    puts: tuple[PutBody, ...]
    expect: tuple[ExpectedBody, ...] = ()


class WrittenBody(Body):
    """Response to a committed transaction."""

    version_number: Version = 0


class StateAnswer(OutgoingBody):
    """Response to a caller with the state of a job."""

    state: str


class WaitingAnswer(Body):
    """Response to a caller with the length of a queue."""

    waiting: int


class ErrorAnswer(Body):
    """Response to a caller whose request failed."""

    error: str
