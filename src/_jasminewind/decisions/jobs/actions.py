"""Actions of the job owner and the run executor, and their replies."""

import dataclasses
import enum

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import specs
from _jasminewind.messages import runs


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointCall(core.Action):
    """Base of calls to the endpoint of an agent.

    ``endpoint`` is the incarnation that is called. The endpoint rejects calls
    whose ``fencing_token`` is below one that it has seen.
    """

    endpoint: runs.EndpointRecord
    fencing_token: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallStart(EndpointCall):
    """Start a run before ``deadline_ms`` on the clock of the endpoint."""

    order: runs.RunOrder
    deadline_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallStop(EndpointCall):
    """Stop a run; one that has not started yet never will."""

    key: runs.RunKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallRenew(EndpointCall):
    """Renew the lease of all runs and read their state, by long polling.

    ``last_end`` acknowledges ends up to this number, which the endpoint then
    drops. It replies after ``wait_s`` at the latest. ``deadline_ms`` 0 reads
    without renewing. An out-of-band call reads while another one is pending.
    ``attachment`` counts how often the agent has attached to an endpoint.
    """

    deadline_ms: int
    last_end: int
    wait_s: float
    attachment: int = 0
    is_out_of_band: bool = False


class CallOutcome(enum.StrEnum):
    """Outcome of a call to an endpoint.

    All outcomes but ``DONE`` and ``LOST`` (no reply) prove that the call had
    no effect.
    """

    DONE = "done"
    FENCED = "fenced"
    OUTDATED = "outdated"
    LATE = "late"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    OTHER_ENDPOINT = "other_endpoint"
    MALFORMED = "malformed"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallReply:
    """Reply to a start or a stop; ``clock_ms`` 0 means unknown."""

    outcome: CallOutcome
    clock_ms: int = 0
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunningRun:
    """A run that the endpoint reports as running, and its progress."""

    key: runs.RunKey
    checkpoint: str = ""
    percent: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListedEnd:
    """An end of a run that the endpoint reports under ``number``."""

    number: int
    key: runs.RunKey
    outcome: runs.RunOutcome
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RenewReply:
    """Reply to a renewal: the state of an endpoint.

    ``sent_s`` is when the renewal was sent. ``complete`` is false when the
    endpoint had more ends than fit into one reply. ``born_ms`` is the start
    time of the incarnation that replied, 0 if unknown.
    """

    outcome: CallOutcome
    sent_s: float
    clock_ms: int = 0
    running: tuple[RunningRun, ...] = ()
    ended: tuple[ListedEnd, ...] = ()
    complete: bool = True
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class NextTurn(core.Action):
    """Tell the owner of jobs when a turn of the reactor begins.

    It is the next one, or the first one after ``delay_s``.
    """

    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerJob(core.Action):
    """Send the final answer to every caller that waits for a job."""

    job: str
    answer: specs.JobAnswer


class CancelOutcome(enum.StrEnum):
    """What is known of a cancelled job.

    ``UNKNOWN``: no entry has it. ``PENDING``: an entry that does not answer
    at present may have it, and is told before it runs more of the job.
    """

    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    PENDING = "pending"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelReply(core.Action):
    """Tell a caller the outcome of its cancellation."""

    ticket: int
    outcome: CancelOutcome


# The peer opened the link, so there is no address to connect to.
def send(to: members.NodeId, message: object) -> core.Send:
    """Return the action that sends ``message`` on the open link to ``to``."""
    return core.Send(to=to, address=members.NO_ADDRESS, message=message)
