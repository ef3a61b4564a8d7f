"""Messages between the entry that owns a job and the agents that run it.

A run is one start of one task on one endpoint.
"""

import dataclasses
import enum

import msgspec

from _jasminewind import resources


@dataclasses.dataclass(frozen=True)
class RunKey:
    """A run: the name of its task and the number of the start."""

    task: str
    number: int

    def __str__(self) -> str:
        return f"{self.task}#{self.number}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointRecord:
    """An endpoint as it announced itself to the agent beside it.

    ``born_ms`` is the Unix time of its start, which distinguishes
    incarnations with the same name.
    """

    name: str
    born_ms: int
    service: str
    failure_domain: str
    capacity: resources.Resources
    labels: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Incarnation:
    """Identity of one life of an endpoint."""

    name: str
    born_ms: int


def incarnation(record: EndpointRecord) -> Incarnation:
    """Return the incarnation that a record describes."""
    return Incarnation(record.name, record.born_ms)


@dataclasses.dataclass(frozen=True, kw_only=True)
class DomainState:
    """Whether a failure domain was evacuated at a version of the table."""

    domain: str
    version: int
    is_evacuated: bool


# An unset field takes no bytes in a message.
OptionalDomainState = DomainState | msgspec.UnsetType
NO_DOMAIN_STATE = msgspec.UNSET
OptionalFlag = bool | msgspec.UnsetType
NO_FLAG = msgspec.UNSET


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentLoad:
    """Load of an endpoint, as its agent reports it.

    ``sequence`` increases with every report. ``free`` counts running and
    queued work as used. ``slowness`` is run time divided by expected time,
    and ``slowness_error`` its relative standard error. ``owners`` is the
    number of entries that use the agent, and ``batch`` the last batch of
    starts accepted from the receiver. ``attachment`` is how often the agent
    has attached to an endpoint; the heartbeat with the same number names it.
    """

    sequence: int
    accepting: bool = False
    free: resources.Resources = resources.NOTHING
    running: int = 0
    queued: int = 0
    slowness: float = 1.0
    slowness_error: float = 0.0
    owners: int = 1
    batch: int = 0
    attachment: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentBeat:
    """Grants the receiver a lease on this agent.

    The lease lasts for a fixed time after the agent sent the beat, by the
    agent's clock. ``endpoint`` is absent until one has announced itself.
    ``domain_state`` is what the agent knows of the endpoint's failure domain,
    absent while it has received none.
    """

    sequence: int
    load: AgentLoad
    endpoint: EndpointRecord | None = None
    domain_state: OptionalDomainState = NO_DOMAIN_STATE


@dataclasses.dataclass(frozen=True, kw_only=True)
class BeatEcho:
    """Confirms to an agent that its grant arrived and its owner is alive.

    The owner has read the connections of its callers since it received the
    beat. ``stops`` are all runs to be stopped whose end has not been reported,
    so that no grant is extended while a stop is lost. ``callers_age_ms`` is
    how long ago the callers of the other runs were certainly waiting.
    ``domain_state`` is set if the sender knows a newer one than the heartbeat
    reported.
    """

    sequence: int
    stops: tuple[RunKey, ...] = ()
    callers_age_ms: int = 0
    domain_state: OptionalDomainState = NO_DOMAIN_STATE


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadChanged:
    """Load of an agent that changed between two beats."""

    load: AgentLoad


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunOrder:
    """One task to start.

    ``slack_s`` is how long it can wait without making its job late; runs with
    less slack start first. ``slowdown`` is the expected run time divided by
    the estimate, on an endpoint of usual speed.
    """

    key: RunKey
    specification: str
    need: resources.Resources
    estimate_s: float
    slack_s: float
    checkpoint: str = ""
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartRuns:
    """Start runs under the lease granted by beat ``grant``.

    It extends the grant as :class:`BeatEcho` does, so it names a beat that was
    confirmed, the same ``stops``, ``callers_age_ms`` and ``domain_state``. The
    orders are for the incarnation ``endpoint``, as another one may lack what
    the tasks require.
    """

    batch: int
    grant: int
    orders: tuple[RunOrder, ...]
    endpoint: Incarnation | None = None
    stops: tuple[RunKey, ...] = ()
    callers_age_ms: int = 0
    domain_state: OptionalDomainState = NO_DOMAIN_STATE


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopRuns:
    """Stop runs that are no longer needed.

    It may be lost with its link; the next :class:`BeatEcho` repeats it.
    ``callers_age_ms`` is how long ago their callers were certainly waiting.
    """

    keys: tuple[RunKey, ...]
    callers_age_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryRuns:
    """Ask which of these runs have ended, after a link was replaced.

    A run unknown to the agent is reported as not started, and is refused if
    its order arrives later.
    """

    keys: tuple[RunKey, ...]


class RunOutcome(enum.StrEnum):
    """How a run ended.

    Only ``FAILED`` is a fault of the task or its endpoint. ``NOT_STARTED``
    guarantees that the run never started and never will; ``OUTDATED`` does so
    for a number that is not above an earlier one of its task. ``LAPSED``: the
    lease expired. ``STALLED``: stopped because it made no progress.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    STALLED = "stalled"
    NOT_STARTED = "not_started"
    OUTDATED = "outdated"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunEnd:
    """Result of a run; ``run_s`` is its time on the endpoint in seconds.

    ``is_moved`` is set if the agent stopped the run because the endpoint would
    have left before its end. An entry that does not know the field places the
    task again as well.
    """

    key: RunKey
    outcome: RunOutcome
    run_s: float = 0.0
    checkpoint: str = ""
    reason: str = ""
    is_moved: OptionalFlag = NO_FLAG


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunsEnded:
    """Results of the receiver's runs, and the load after them."""

    ends: tuple[RunEnd, ...]
    load: AgentLoad


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelJob:
    """Ask another entry to cancel a job if it owns it."""

    job: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobCancelled:
    """Reply to :class:`CancelJob`; ``known``: the sender owns the job."""

    job: str
    known: bool
