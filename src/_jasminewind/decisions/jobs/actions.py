"""Actions of the job decisions, and the replies that they lead to."""

import dataclasses
import enum

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import specs
from _jasminewind.messages import runs


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointCall(core.Action):
    """Base of the calls to the endpoint beside an agent.

    ``endpoint`` is the life that is meant, and ``fence`` the token below
    which the endpoint ignores calls.
    """

    endpoint: runs.EndpointRecord
    fencing_token: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallStart(EndpointCall):
    """Start a run, unless the endpoint's clock is past ``deadline_ms``."""

    order: runs.RunOrder
    deadline_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallStop(EndpointCall):
    """Stop a run; one that is not there yet will then never start."""

    key: runs.RunKey


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallRenew(EndpointCall):
    """Renew the lease of all runs and read their state.

    The endpoint forgets ends up to ``last_end``, and answers after
    ``wait_s`` at the latest. ``deadline_ms`` 0 renews nothing. An extra
    call reads the state beside the one that renews.
    """

    deadline_ms: int
    last_end: int
    wait_s: float
    is_extra: bool = False


class CallOutcome(enum.StrEnum):
    """What became of a call to an endpoint.

    Every outcome but ``DONE`` and ``LOST`` proves that it had no effect.
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
    """Reply to a start or a stop; ``clock_ms`` is 0 when it is unknown."""

    outcome: CallOutcome
    clock_ms: int = 0
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunningRun:
    """A run that the endpoint lists; ``percent`` of its work is done."""

    key: runs.RunKey
    checkpoint: str = ""
    percent: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListedEnd:
    """An end that the endpoint lists under ``number``."""

    number: int
    key: runs.RunKey
    outcome: runs.RunOutcome
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RenewReply:
    """State of an endpoint.

    ``sent_s`` is when the renewal was sent. ``complete`` is false when the
    endpoint had more ends than fit into one answer. ``born_ms`` is the start
    of the life that answered, 0 when it did not say.
    """

    outcome: CallOutcome
    sent_s: float
    clock_ms: int = 0
    running: tuple[RunningRun, ...] = ()
    ended: tuple[ListedEnd, ...] = ()
    complete: bool = True
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerJob(core.Action):
    """Give the final answer to every caller that waits for a job."""

    job: str
    answer: specs.JobAnswer


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelReply(core.Action):
    """Tell an operator or caller whether a job was there to cancel."""

    ticket: int
    known: bool


# Sends that only an open link may carry: the peer opened it.
def send(to: members.NodeId, message: object) -> core.Send:
    """Return the action that sends ``message`` on the link to ``to``."""
    return core.Send(to=to, address=members.NO_ADDRESS, message=message)
