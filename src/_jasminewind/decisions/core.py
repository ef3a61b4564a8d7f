"""Time, events and actions of the decision logic.

A decision object takes typed events and an :class:`Instant`, and returns a
list of typed actions. The node around it carries the actions out.
"""

import abc
import collections.abc
import dataclasses
import enum

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import members
from _jasminewind.messages import tasks
from _jasminewind.messages import work


@dataclasses.dataclass(frozen=True)
class Instant:
    """A moment: monotonic seconds and wall time in Unix milliseconds."""

    mono_s: float
    wall_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Action:
    """Base of what a decision asks its node to do."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send(Action):
    """Send ``message`` once on the lasting link to ``to``.

    When there is no link the node opens one first. A message that cannot
    be written reaches the decision again as ``on_send_failed``.
    """

    to: members.NodeId
    address: members.Address
    message: object


@dataclasses.dataclass(frozen=True, kw_only=True)
class Probe(Action):
    """Open a new connection to ``to`` and see whether it answers a ping."""

    to: members.NodeId
    address: members.Address


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProbeReply:
    """Outcome of a ``Probe``.

    ``found`` is the process that answered, which differs from ``to`` when
    a replacement runs at its address, and is ``None`` when none answered.
    """

    to: members.NodeId
    found: members.NodeId | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadTable(Action):
    """Read rows of the platform's table; ``tag`` returns with the reply."""

    tag: str
    keys: tuple[str, ...] = ()
    prefix: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableRow:
    """A row: its version (0 when it does not exist) and JSON text."""

    key: str
    version: int
    value: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableReadReply:
    """Rows read, or the error of the call."""

    tag: str
    rows: tuple[TableRow, ...] = ()
    error: errors.TableError | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class WriteTable(Action):
    """Write ``value`` if the row still has ``expected_version``.

    A ``value`` of ``None`` deletes the row.
    """

    tag: str
    key: str
    expected_version: int
    value: str | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableWriteReply:
    """Version of the row that was written, or the error of the call."""

    tag: str
    key: str
    version: int = 0
    error: errors.TableError | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartOnEndpoint(Action):
    """Start a task on the endpoint beside this agent, once."""

    start: tasks.TaskStart


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskEnd:
    """End of a task on an endpoint; ``error`` is ``None`` on success.

    ``run_s`` is the run time on the endpoint in seconds.
    """

    key: tasks.TaskKey
    run_s: float
    payload: str = ""
    error: errors.EndpointError | None = None


class TaskCommand(enum.StrEnum):
    """What a keeper can ask of a running task."""

    STOP = "stop"
    THROTTLE = "throttle"
    UNTHROTTLE = "unthrottle"
    CHECKPOINT = "checkpoint"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlTask(Action):
    """Stop, throttle or checkpoint a running task."""

    key: tasks.TaskKey
    command: TaskCommand


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """Measured use of one task, reported by the worker with a lag."""

    key: tasks.TaskKey
    cores: float
    memory_mb: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplyToCaller(Action):
    """Give an answer or a status to the local caller that waits for it."""

    ticket: int
    message: work.Answer | work.WorkStatus | work.ExplainReply


@dataclasses.dataclass(frozen=True, kw_only=True)
class ApplyConfig(Action):
    """Put a configuration in force in every part of this process."""

    config: configuration.Configuration


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogDecision(Action):
    """One line of the decision log.

    ``choice`` is what was chosen out of ``candidates``; ``reason`` is a
    short sentence that an operator can act on.
    """

    kind: str
    work_id: str = ""
    task: str = ""
    team: str = ""
    candidates: tuple[str, ...] = ()
    choice: str = ""
    reason: str = ""


Actions = list[Action]


class StateMachine(abc.ABC):
    """A part of the decision logic that a node drives."""

    TICK_S: float = 0.1

    @abc.abstractmethod
    def handles(self) -> collections.abc.Iterable[type]:
        """Return the message types that :meth:`on_message` takes."""

    @abc.abstractmethod
    def on_message(
        self, sender: members.NodeId, message: object, now: Instant
    ) -> Actions:
        """Handle one message of a type in :meth:`handles`."""

    def on_tick(self, now: Instant) -> Actions:
        """Handle the passing of time; called every ``TICK_S`` seconds."""
        del now
        return []

    def on_config(
        self, config: configuration.Configuration, now: Instant
    ) -> Actions:
        """Handle a configuration that is now in force."""
        del config, now
        return []

    def on_members(
        self, view: tuple[members.Member, ...], now: Instant
    ) -> Actions:
        """Handle a changed view of the live members of the cell."""
        del view, now
        return []

    def on_link_lost(self, peer: members.NodeId, now: Instant) -> Actions:
        """Handle the loss of the link to ``peer``."""
        del peer, now
        return []

    def on_send_failed(
        self, peer: members.NodeId, message: object, now: Instant
    ) -> Actions:
        """Handle a message that certainly was not written to a link."""
        del peer, message, now
        return []

    def on_probe(self, reply: ProbeReply, now: Instant) -> Actions:
        """Handle the outcome of a ``Probe``."""
        del reply, now
        return []

    def on_table_read(self, reply: TableReadReply, now: Instant) -> Actions:
        """Handle the reply to a ``ReadTable`` of this decision."""
        del reply, now
        return []

    def on_table_written(
        self, reply: TableWriteReply, now: Instant
    ) -> Actions:
        """Handle the reply to a ``WriteTable`` of this decision."""
        del reply, now
        return []
