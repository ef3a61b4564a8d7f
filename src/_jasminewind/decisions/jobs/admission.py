"""Admission control: load shedding and the Retry-After of refusals."""

import abc
import dataclasses
import enum
import typing

from _jasminewind.decisions.jobs import queued_work
from _jasminewind.decisions.jobs import tracking

# Minimum Retry-After; the header has whole seconds.
MIN_RETRY_S = 1.0
# Maximum Retry-After. Work that is queued now has completed or been refused by
# then, so a longer delay would only keep callers away.
MAX_RETRY_S = 10.0
# Retry-After while this entry lacks a configuration or agents. Connections and
# reads are retried well within this time.
STARTUP_RETRY_S = 1.0

# Retry-After while every endpoint is evacuated. Agents accept work again at
# their first heartbeat after the evacuation, which is 0.4 s later at most.
EVACUATION_RETRY_S = 1.0


class Limit(enum.StrEnum):
    """The limit that a refused job has met."""

    NO_CAPACITY = "no_capacity"
    EVACUATED = "evacuated"
    WAIT = "wait"
    QUEUED_TOO_LONG = "queued_too_long"
    QUEUE_SHARE = "queue_share"
    RETRY_BUDGET = "retry_budget"
    SHUTDOWN = "shutdown"
    NOT_EXAMINED = "not_examined"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """Queued work and capacity of one service, as one entry sees them.

    ``queued_core_s`` is the work queued at this entry. ``work`` is the same
    by latest start, without that of preferred jobs, ``preferred_work``.
    ``share_cores`` is this entry's equal share of the capacity of the agents
    that accept work, and ``expected_cores`` what it gets by the starts that it
    observed. ``freed_cores_per_s`` is how many cores it could start tasks on.
    ``waiting_for_s`` is for how long tasks have been queued without a break.
    """

    queued_core_s: float
    share_cores: float
    expected_cores: float
    freed_cores_per_s: float
    waiting_for_s: float
    work: queued_work.QueuedWork
    preferred_work: queued_work.QueuedWork = dataclasses.field(
        default_factory=queued_work.QueuedWork
    )

    def ahead(
        self, latest_start_s: float, is_preferred: bool, now_s: float
    ) -> queued_work.Work:
        """Return the queued work that starts before a job."""
        if is_preferred:
            return self.preferred_work.before(latest_start_s, now_s)
        found = self.work.before(latest_start_s, now_s)
        first = self.preferred_work.on_time(now_s)
        return queued_work.Work(
            found.core_s + first.core_s, found.cores + first.cores
        )

    def total_core_s(self) -> float:
        """Return all queued core-seconds of the service."""
        return self.work.total().core_s + self.preferred_work.total().core_s

    def is_waiting(self) -> bool:
        """Tell whether tasks wait for capacity alone."""
        return self.work.unconstrained + self.preferred_work.unconstrained > 0

    def wait_s(self) -> float:
        """Return the expected queueing time behind all queued work."""
        if not self.share_cores:
            return float("inf")
        return self.queued_core_s / self.share_cores


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a job is refused, and when its caller may return."""

    limit: Limit
    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """The forecast wait of a job, and its refusal unless it is accepted.

    An accepted job is queued as if it had arrived ``lead_s`` earlier, and a
    preferred one before all others.
    """

    wait_s: float
    refusal: Refusal | None = None
    lead_s: float = 0.0
    is_preferred: bool = False


class Admission(abc.ABC):
    """Decides which jobs are accepted. The same input has the same result."""

    name: typing.ClassVar[str]
    # Order of late tasks: those of jobs that have started come first.
    is_started_first: typing.ClassVar[bool] = True

    @abc.abstractmethod
    def decide(
        self, job: tracking.Job, demand: Demand, now_s: float
    ) -> Decision:
        """Accept or refuse a job that arrives while agents accept work."""

    def retry_after_s(
        self, job: tracking.Job, wait_s: float, demand: Demand, now_s: float
    ) -> float:
        """Return the Retry-After of a job refused for another reason."""
        return retry_after_s(wait_s)

    def withdraw(self, job: tracking.Job, now_s: float) -> None:
        """Record that an accepted job ends before it has started."""


class BacklogAdmission(Admission):
    """Compares all queued work with the equal share; a baseline.

    A job is refused when it would complete only after it is overdue or its
    caller has stopped waiting.
    """

    name = "backlog"
    is_started_first = False

    def decide(
        self, job: tracking.Job, demand: Demand, now_s: float
    ) -> Decision:
        """Accept or refuse a job."""
        wait_s = demand.wait_s()
        excess_s = wait_s + job.spec.critical_path_s - limit_s(job, now_s)
        if excess_s <= 0:
            return Decision(wait_s=wait_s)
        refused = Refusal(
            limit=Limit.WAIT,
            reason=(
                f"{demand.queued_core_s:.0f} core-seconds of work are queued, "
                f"about {wait_s:.2f} s; the job would miss its limit of "
                f"{limit_s(job, now_s):.2f} s"
            ),
            retry_after_s=retry_after_s(excess_s),
        )
        return Decision(wait_s=wait_s, refusal=refused)


def limit_s(job: tracking.Job, now_s: float) -> float:
    """Return the time left in which a job is of use to its caller."""
    return min(job.overdue_s, job.caller_deadline_s) - now_s


def evacuation_refusal(service: str) -> Refusal:
    """Return the refusal of a job while its whole service is evacuated."""
    return Refusal(
        limit=Limit.EVACUATED,
        reason=(
            f"every endpoint of service {service} is in an evacuated failure "
            "domain"
        ),
        retry_after_s=EVACUATION_RETRY_S,
    )


def retry_after_s(wait_s: float) -> float:
    """Return the Retry-After for a wait, which may be infinite."""
    return min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
