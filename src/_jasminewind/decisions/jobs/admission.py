"""Which jobs an entry takes, and when refused callers may return."""

import dataclasses

from _jasminewind.decisions.jobs import specs
from _jasminewind.decisions.jobs import tracking

# Shortest Retry-After; the header has whole seconds.
MIN_RETRY_S = 1.0
# Longest Retry-After. What waits now has ended by then or was refused, so
# that a longer one would only keep callers away.
MAX_RETRY_S = 10.0
# Retry-After while this entry lacks a configuration or agents. Links and
# reads are tried again well within it.
STARTUP_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """Work and capacity of one service, as one entry knows them.

    ``waiting_core_s`` is the work that waits here, ``cores`` the capacity
    of the agents in use, and ``entries`` how many entries share it.
    """

    waiting_core_s: float
    cores: float
    entries: int

    def wait_s(self) -> float:
        """Return the expected wait of work that arrives now."""
        if not self.cores:
            return float("inf")
        return self.waiting_core_s * self.entries / self.cores


def refusal(
    job: tracking.Job, demand: Demand, now_s: float
) -> specs.JobAnswer | None:
    """Return why a job is refused at once, or nothing to take it.

    A job is refused when it would start so late that its answer comes
    after every caller has stopped waiting for it.
    """
    wait_s = demand.wait_s()
    limit_s = min(job.late_s, job.caller_deadline_s) - now_s
    if wait_s + job.spec.critical_path_s() <= limit_s:
        return None
    excess_s = wait_s + job.spec.critical_path_s() - limit_s
    return specs.JobAnswer(
        state=specs.JobState.REFUSED,
        reason=(
            f"{demand.waiting_core_s:.0f} core-seconds of work wait here, "
            f"about {wait_s:.2f} s; the job would end after {limit_s:.2f} s"
        ),
        retry_after_s=retry_after_s(excess_s),
    )


def retry_after_s(wait_s: float) -> float:
    """Return when to come back, for a wait that may have no end."""
    return min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
