"""Messages between the entry that owns a job and the agents that run it.

A run is one start of one task on one endpoint.
"""

import dataclasses
import enum

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

    ``born_ms`` is the Unix time of its start, which tells two lives under
    one name apart.
    """

    name: str
    born_ms: int
    service: str
    failure_domain: str
    capacity: resources.Resources
    labels: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentLoad:
    """What an agent reports of its endpoint.

    ``sequence`` rises with every report. ``free`` counts running and
    queued work as used. ``slowness`` is the recent mean of run time divided
    by estimate. ``owners`` is the number of entries that use the agent, and
    ``batch`` the last batch of starts taken from the receiver.
    """

    sequence: int
    accepting: bool = False
    free: resources.Resources = resources.NOTHING
    running: int = 0
    queued: int = 0
    slowness: float = 1.0
    owners: int = 1
    batch: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentBeat:
    """Grants the receiver the right to use this agent for a while.

    The grant is valid for a fixed time since the agent sent the beat, by
    the agent's clock. ``endpoint`` is absent until one has announced
    itself.
    """

    sequence: int
    load: AgentLoad
    endpoint: EndpointRecord | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class BeatEcho:
    """Tells an agent that its grant arrived and that the owner lives."""

    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadChanged:
    """Load of an agent between two beats."""

    load: AgentLoad


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunOrder:
    """One task to start.

    ``slack_s`` is the time that it can still wait without making its job
    late; work with less slack starts first.
    """

    key: RunKey
    specification: str
    need: resources.Resources
    estimate_s: float
    slack_s: float
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartRuns:
    """Start runs under the grant of beat ``grant``."""

    batch: int
    grant: int
    orders: tuple[RunOrder, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopRuns:
    """Stop runs that are no longer needed."""

    keys: tuple[RunKey, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryRuns:
    """Ask which of these runs have ended, after a link was replaced.

    A run that the agent has never seen is reported as not started, and is
    refused if its order arrives later.
    """

    keys: tuple[RunKey, ...]


class RunOutcome(enum.StrEnum):
    """How a run ended.

    Only ``FAILED`` is the task's own fault or that of its endpoint.
    ``NOT_STARTED`` proves that the run never started and never will.
    ``OUTDATED`` is the same for a number that is not above an earlier one
    of its task. ``STALLED`` was stopped because it made no progress.
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
    """End of a run; ``run_s`` is its time on the endpoint in seconds."""

    key: RunKey
    outcome: RunOutcome
    run_s: float = 0.0
    checkpoint: str = ""
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunsEnded:
    """Ends of runs of the receiver, and the load after them."""

    ends: tuple[RunEnd, ...]
    load: AgentLoad


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelJob:
    """Ask another entry to cancel a job if it owns it."""

    job: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobCancelled:
    """Answer to :class:`CancelJob`; ``known`` tells whether it was owned."""

    job: str
    known: bool
