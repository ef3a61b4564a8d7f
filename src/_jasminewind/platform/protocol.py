"""Bodies of the platform's HTTP+JSON protocol, as published to users."""

import dataclasses

from _jasminewind import resources
from _jasminewind.decisions import core
from _jasminewind.messages import tasks

TABLE_READ_PATH = "/v1/table/read"
TABLE_WRITE_PATH = "/v1/table/write"
ATTACH_PATH = "/v1/attach"
START_PATH = "/v1/start"
LEASES_PATH = "/v1/leases"
EVENTS_PATH = "/v1/events"
ORDER_PATH = "/v1/order"
DETACH_PATH = "/v1/detach"
CALL_PATH = "/v1/call"
HEALTH_PATH = "/v1/health"

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
FAILED = 500
NOT_IMPLEMENTED = 501
BAD_GATEWAY = 502
UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """Body of every answer that is not 200.

    ``not_run`` proves that the call had no effect. ``generation`` is the
    worker's, when the call named a generation that does not hold it.
    """

    reason: str
    not_run: bool = False
    generation: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Empty:
    """Body of an answer that says nothing but 200."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableRead:
    """Read rows by key and by key prefix."""

    keys: tuple[str, ...] = ()
    prefix: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableRows:
    """Answer to ``TableRead``."""

    rows: tuple[core.TableRow, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableWrite:
    """Compare-and-set; a ``value`` of ``None`` deletes the row."""

    key: str
    expected_version: int
    value: str | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableWritten:
    """Answer to ``TableWrite``; version 0 after a deletion."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attach:
    """Become the only holder; the generation must not be lower."""

    holder: str
    generation: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attached:
    """Answer to ``Attach``.

    ``instance`` differs after the worker was restarted. ``sequence`` is
    the number of the last event before this answer.
    """

    instance: str
    sequence: int
    running: tuple[tasks.TaskKey, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseStart:
    """One task to start under a lease."""

    lease_id: str
    key: tasks.TaskKey
    payload: str
    demand: resources.Resources


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartLeases:
    """Start a batch of tasks; all or none of it is carried out."""

    generation: int
    starts: tuple[LeaseStart, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadLeases:
    """Ask which of these leases the worker ever granted."""

    lease_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leases:
    """Answer to ``ReadLeases``: the leases that were granted."""

    instance: str
    lease_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PollEvents:
    """Wait up to ``wait_s`` for events numbered above ``after``.

    The worker forgets the events up to ``after``.
    """

    generation: int
    after: int
    wait_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndEvent:
    """End of one task; ``error`` is empty on success."""

    sequence: int
    key: tasks.TaskKey
    run_s: float
    payload: str = ""
    error: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Events:
    """Answer to ``PollEvents``; ``usage`` is the last lagging report."""

    instance: str
    ends: tuple[EndEvent, ...] = ()
    usage: tuple[core.Usage, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """Stop, throttle, unthrottle or checkpoint a running task."""

    generation: int
    key: tasks.TaskKey
    order: core.TaskCommand


@dataclasses.dataclass(frozen=True, kw_only=True)
class Detach:
    """Give the worker up."""

    generation: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A call of a minion."""

    key: tasks.TaskKey
    method: str
    payload: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallReply:
    """Answer to ``Call``; ``run_s`` leaves out the wait for a slot."""

    payload: str
    run_s: float


def lease_id(key: tasks.TaskKey) -> str:
    """Return the id of the lease under which ``key`` runs."""
    return f"{key.work_id}/{key.index}/{key.attempt}"
