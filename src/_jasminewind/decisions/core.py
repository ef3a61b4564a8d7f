"""Interface of the state machines: time, events and actions.

A state machine takes typed events and an :class:`Instant`, and returns a
list of typed actions, which the node executes. It does no I/O itself.
"""

import abc
import collections.abc
import dataclasses
import enum
import typing

from _jasminewind import errors
from _jasminewind import members

if typing.TYPE_CHECKING:
    # Creating these data classes takes a fifth of a second on the smallest
    # machines, and processes of the users' platform do not use them.
    from _jasminewind import configuration
    from _jasminewind.messages import tasks
    from _jasminewind.messages import work


@dataclasses.dataclass(frozen=True)
class Instant:
    """A point in time: monotonic seconds and Unix milliseconds."""

    mono_s: float
    wall_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Action:
    """Base class of the actions that a node executes."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send(Action):
    """Send ``message`` once on the persistent link to ``to``.

    The node opens a link if there is none. A message that cannot be written
    is returned to the state machine through ``on_send_failed``.
    """

    to: members.NodeId
    address: members.Address
    message: object


@dataclasses.dataclass(frozen=True, kw_only=True)
class Probe(Action):
    """Ping ``to`` on a new connection."""

    to: members.NodeId
    address: members.Address


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProbeReply:
    """Outcome of a ``Probe``.

    ``found`` is the process that answered, or ``None``. It differs from
    ``to`` if a replacement process runs at the address.
    """

    to: members.NodeId
    found: members.NodeId | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadTable(Action):
    """Read rows of the platform's table; the reply has the same ``tag``."""

    tag: str
    keys: tuple[str, ...] = ()
    prefix: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableRow:
    """A row with its JSON value; ``version`` is 0 if it does not exist."""

    key: str
    version: int
    value: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableReadReply:
    """Rows that were read, or the error of the call."""

    tag: str
    rows: tuple[TableRow, ...] = ()
    error: errors.TableError | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class WriteTable(Action):
    """Compare and swap: write a row if its version is ``expected_version``.

    A ``value`` of ``None`` deletes the row.
    """

    tag: str
    key: str
    expected_version: int
    value: str | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TableWriteReply:
    """New version of the row, or the error of the call."""

    tag: str
    key: str
    version: int = 0
    error: errors.TableError | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartOnEndpoint(Action):
    """Start a task once on the endpoint of this agent."""

    start: "tasks.TaskStart"


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskEnd:
    """End of a task on an endpoint; ``error`` is ``None`` on success.

    ``run_s`` is the run time on the endpoint in seconds.
    """

    key: "tasks.TaskKey"
    run_s: float
    payload: str = ""
    error: errors.EndpointError | None = None


class TaskCommand(enum.StrEnum):
    """Command that an executor can send to a running task."""

    STOP = "stop"
    THROTTLE = "throttle"
    UNTHROTTLE = "unthrottle"
    CHECKPOINT = "checkpoint"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlTask(Action):
    """Send a command to a running task."""

    key: "tasks.TaskKey"
    command: TaskCommand


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplyToCaller(Action):
    """Send a reply to the local caller whose request has ``ticket``."""

    ticket: int
    message: "work.Answer | work.WorkStatus | work.ExplainReply"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ApplyConfig(Action):
    """Apply a configuration to every part of this process."""

    config: "configuration.Configuration"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogDecision(Action):
    """An entry of the decision log.

    ``choice`` is what was chosen from ``candidates``; ``reason`` is a short
    sentence that an operator can act on.
    """

    kind: str
    work_id: str = ""
    task: str = ""
    team: str = ""
    candidates: tuple[str, ...] = ()
    choice: str = ""
    reason: str = ""


Actions = list[Action]


class Freshness(typing.Protocol):
    """Tells whether the local configuration is confirmed as current."""

    def is_fresh(self, now: Instant) -> bool:
        """Tell whether the version was confirmed recently."""


class StateMachine(abc.ABC):
    """Base class of the state machines that a node runs."""

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
        """Handle a timer tick, every ``TICK_S`` seconds."""
        del now
        return []

    def on_config(
        self, config: "configuration.Configuration", now: Instant
    ) -> Actions:
        """Handle a new configuration."""
        del config, now
        return []

    def on_members(
        self, view: tuple[members.Member, ...], now: Instant
    ) -> Actions:
        """Handle a changed list of the live members of the cell."""
        del view, now
        return []

    def on_link_lost(self, peer: members.NodeId, now: Instant) -> Actions:
        """Handle the loss of the link to ``peer``."""
        del peer, now
        return []

    def on_send_failed(
        self, peer: members.NodeId, message: object, now: Instant
    ) -> Actions:
        """Handle a message that was certainly not written to a link."""
        del peer, message, now
        return []

    def on_probe(self, reply: ProbeReply, now: Instant) -> Actions:
        """Handle the outcome of a ``Probe``."""
        del reply, now
        return []

    def on_table_read(self, reply: TableReadReply, now: Instant) -> Actions:
        """Handle the reply to a ``ReadTable`` of this state machine."""
        del reply, now
        return []

    def on_table_written(
        self, reply: TableWriteReply, now: Instant
    ) -> Actions:
        """Handle the reply to a ``WriteTable`` of this state machine."""
        del reply, now
        return []
