"""Paths and bodies of the published HTTP+JSON protocol for platforms."""

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
    """Body of every response other than 200.

    ``not_run`` proves that the call had no effect. ``generation`` is that
    of the worker, if the call named one that does not hold the worker.
    """

    reason: str
    not_run: bool = False
    generation: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Empty:
    """Empty body of a 200 response."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableRead:
    """Read rows by key and by key prefix."""

    keys: tuple[str, ...] = ()
    prefix: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableRows:
    """Response to ``TableRead``."""

    rows: tuple[core.TableRow, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableWrite:
    """Compare-and-set; a ``value`` of ``None`` deletes the row."""

    key: str
    expected_version: int
    value: str | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableWritten:
    """Response to ``TableWrite``; version 0 after a deletion."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attach:
    """Become the only holder; the generation must not be lower."""

    holder: str
    generation: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attached:
    """Response to ``Attach``.

    ``instance`` changes when the worker restarts. ``sequence`` is the number
    of the last event before this response.
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
    """Start all tasks of a batch, or none."""

    generation: int
    starts: tuple[LeaseStart, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadLeases:
    """Ask which of these leases the worker has ever granted."""

    lease_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leases:
    """Response to ``ReadLeases``: the leases that were granted."""

    instance: str
    lease_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PollEvents:
    """Long-poll up to ``wait_s`` for events numbered above ``after``.

    The worker drops the events up to ``after``.
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
    """Response to ``PollEvents``; ``usage`` is the last, delayed report."""

    instance: str
    ends: tuple[EndEvent, ...] = ()
    usage: tuple[tasks.Usage, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """Stop, throttle, unthrottle or checkpoint a running task."""

    generation: int
    key: tasks.TaskKey
    order: core.TaskCommand


@dataclasses.dataclass(frozen=True, kw_only=True)
class Detach:
    """Release the worker."""

    generation: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """Call a minion."""

    key: tasks.TaskKey
    method: str
    payload: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallReply:
    """Response to ``Call``; ``run_s`` excludes the wait for a slot."""

    payload: str
    run_s: float


def lease_id(key: tasks.TaskKey) -> str:
    """Return the id of the lease under which ``key`` runs."""
    return f"{key.work_id}/{key.index}/{key.attempt}"
