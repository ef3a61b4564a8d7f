"""Agents as an entry sees them."""

import dataclasses

from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions.jobs import leases
from _jasminewind.decisions.jobs import tracking
from _jasminewind.messages import runs

# An agent that is silent for longer gets no new work; two beats are 0.4 s.
HEARTBEAT_TIMEOUT_S = 0.5
# An agent reports starts at once; one that has not by then gets no more.
BATCH_ACK_TIMEOUT_S = 0.5
# A run is asked about when it takes longer than this many times the
# expected time and at least the period, then once a period.
QUERY_FACTOR = 2.0
QUERY_PERIOD_S = 1.0
# Jobs in a row, each different, whose runs failed at one agent before it is
# taken for faulty. One job that can never succeed fails everywhere.
EJECT_AFTER_FAILED_JOBS = 2
# Largest share of the agents that may be ejected at once. More failures
# than that come from the jobs, not from the endpoints.
MAX_EJECTED_SHARE = 0.34
# Time without new work for a faulty agent; it doubles with each ejection.
EJECTION_S = 0.5
MAX_EJECTION_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Batch:
    """Starts that the last known load may not count yet."""

    number: int
    sent_s: float
    need: resources.Resources


class Agent:
    """One agent, its endpoint, and what this entry runs there."""

    def __init__(self, node: members.NodeId) -> None:
        self.node = node
        self.endpoint: runs.EndpointRecord | None = None
        self.load = runs.AgentLoad(sequence=0)
        self.last_heartbeat_s = 0.0
        self.grant = 0
        self.next_batch = 1
        self.batches: list[Batch] = []
        # What is free, as far as this entry knows.
        self.free = resources.NOTHING
        self.runs: dict[runs.RunKey, tracking.Run] = {}
        self.needs_query = False
        self.failed_jobs: set[str] = set()
        self.ejected_until_s = 0.0
        self.ejections = 0

    def on_heartbeat(self, beat: runs.AgentBeat, now_s: float) -> None:
        """Take a grant and the load that comes with it."""
        if beat.sequence <= self.grant:
            return
        self.grant = beat.sequence
        self.last_heartbeat_s = now_s
        self.endpoint = beat.endpoint
        self.update_load(beat.load)

    def update_load(self, load: runs.AgentLoad) -> None:
        """Take a load, unless a later one is known."""
        if load.sequence <= self.load.sequence:
            return
        self.load = load
        if load.batch:
            self.batches = [b for b in self.batches if b.number > load.batch]
        unreported = resources.NOTHING
        for batch in self.batches:
            unreported += batch.need
        self.free = load.free - unreported

    def add_run(self, run: tracking.Run) -> None:
        """Count a run that is about to be ordered in the next batch."""
        self.runs[run.key] = run
        need = run.task.step_spec.need
        self.batches.append(
            Batch(number=self.next_batch, sent_s=run.sent_s, need=need)
        )
        self.free -= need

    def is_usable(self, now_s: float) -> bool:
        """Tell whether new runs may be ordered here."""
        return (
            self.endpoint is not None
            and self.load.accepting
            and not self.needs_query
            and not self.has_overdue_batch(now_s)
            and now_s - self.last_heartbeat_s <= HEARTBEAT_TIMEOUT_S
            and now_s >= self.ejected_until_s
            and not self.is_on_probation()
        )

    def is_on_probation(self) -> bool:
        """Tell whether one run has yet to prove a faulty agent sound."""
        return self.ejections > 0 and bool(self.runs)

    def has_overdue_batch(self, now_s: float) -> bool:
        """Tell whether starts are not taken although beats arrive."""
        return bool(self.batches) and (
            now_s - self.batches[0].sent_s > BATCH_ACK_TIMEOUT_S
        )

    def take_due_queries(self, now_s: float) -> tuple[runs.RunKey, ...]:
        """Return the runs to ask about now."""
        due = [r for r in self.runs.values() if now_s >= r.next_query_s]
        for run in due:
            run.next_query_s = now_s + QUERY_PERIOD_S
        return tuple(run.key for run in due)

    def is_lost(self, now_s: float) -> bool:
        """Tell whether every run here has certainly ended by now."""
        return now_s - self.last_heartbeat_s > leases.AGENT_TIMEOUT_S

    def record_success(self) -> None:
        """Note a run that was done."""
        self.failed_jobs.clear()
        self.ejections = 0

    def record_failure(self, job: str) -> bool:
        """Note a failed run; tell whether the agent looks faulty."""
        self.failed_jobs.add(job)
        return len(self.failed_jobs) >= EJECT_AFTER_FAILED_JOBS

    def eject(self, now_s: float) -> None:
        """Give the agent no new work for a while."""
        self.failed_jobs.clear()
        pause_s = min(EJECTION_S * 2.0**self.ejections, MAX_EJECTION_S)
        self.ejected_until_s = now_s + pause_s
        self.ejections += 1
