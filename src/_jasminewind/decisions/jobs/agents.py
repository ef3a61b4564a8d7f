"""State of agents at an entry: load, capacity, health and runs."""

import dataclasses

from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions.jobs import caller_reads
from _jasminewind.decisions.jobs import evacuations
from _jasminewind.decisions.jobs import leases
from _jasminewind.decisions.jobs import tracking
from _jasminewind.messages import runs

# An agent without a confirmed heartbeat for longer gets no new runs. An idle
# one sends them 0.4 s apart, and its grant lasts 0.7 s.
HEARTBEAT_TIMEOUT_S = 0.6
# An agent acknowledges a batch of starts at once. One that has not done so
# within this time gets no more runs.
BATCH_ACK_TIMEOUT_S = 0.5
# A run is queried when it takes longer than this many times its expected time,
# and at least the period, and then once a period.
QUERY_FACTOR = 2.0
QUERY_PERIOD_S = 1.0
# Consecutive different jobs whose runs fail at an agent before it is ejected.
# Different ones, because a job that can never succeed fails everywhere.
EJECT_AFTER_FAILED_JOBS = 2
# Largest share of the agents that may be ejected at once. If more of them
# fail, the jobs are to blame rather than the endpoints.
MAX_EJECTED_SHARE = 0.34
# Duration of the first ejection; it doubles with each further one.
EJECTION_S = 0.5
MAX_EJECTION_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnreportedStart:
    """A start in batch ``number`` that the reported load may not include."""

    number: int
    key: runs.RunKey
    sent_s: float
    need: resources.Resources


class Agent:
    """An agent, its endpoint and the runs of this entry there."""

    def __init__(
        self,
        node: members.NodeId,
        domains: evacuations.Evacuations | None = None,
    ) -> None:
        """Create an agent that the evacuations in ``domains`` affect."""
        self.node = node
        self.domains = domains or evacuations.Evacuations()
        self.endpoint: runs.EndpointRecord | None = None
        # Attachment of the agent to ``endpoint``.
        self.attachment = 0
        # What the last heartbeat reported of the endpoint's failure domain.
        self.reported_state: runs.OptionalDomainState = runs.NO_DOMAIN_STATE
        self.load = runs.AgentLoad(sequence=0)
        self.last_heartbeat_s = 0.0
        # Sequence number of the last heartbeat.
        self.sequence = 0
        # That of the last confirmed one, the grant for new runs, and when it
        # was received.
        self.grant = 0
        self.granted_s = 0.0
        self.next_batch = 1
        self.unreported_starts: list[UnreportedStart] = []
        # The reported free capacity less the starts that it does not count.
        self.free = resources.NOTHING
        self.runs: dict[runs.RunKey, tracking.Run] = {}
        # The runs among them that the agent has to stop.
        self.stops: dict[runs.RunKey, None] = {}
        self.needs_query = False
        self.failed_jobs: set[str] = set()
        self.ejected_until_s = 0.0
        self.ejections = 0

    def on_heartbeat(self, heartbeat: runs.AgentBeat, now_s: float) -> None:
        """Record the endpoint and load of a heartbeat."""
        if heartbeat.sequence <= self.sequence:
            return
        self.sequence = heartbeat.sequence
        self.last_heartbeat_s = now_s
        self.endpoint = heartbeat.endpoint
        self.attachment = heartbeat.load.attachment
        self.reported_state = heartbeat.domain_state
        self.update_load(heartbeat.load)

    def confirm(self, heartbeat: caller_reads.ReceivedHeartbeat) -> None:
        """Use a heartbeat as the grant for new runs.

        The callers' connections have been read since it was received.
        """
        if heartbeat.sequence > self.grant:
            self.grant = heartbeat.sequence
            self.granted_s = heartbeat.at_s

    def update_load(self, load: runs.AgentLoad) -> None:
        """Record a reported load, unless a later one is known."""
        if load.sequence <= self.load.sequence:
            return
        self.load = load
        if load.batch:  # Heartbeats name no batch.
            self.unreported_starts = [
                each
                for each in self.unreported_starts
                if each.number > load.batch
            ]
        unreported = resources.NOTHING
        for start in self.unreported_starts:
            unreported += start.need
        self.free = load.free - unreported

    def add_run(self, run: tracking.Run) -> None:
        """Reserve capacity for a run in the next batch of starts."""
        self.runs[run.key] = run
        need = run.task.step_spec.need
        self.unreported_starts.append(
            UnreportedStart(
                number=self.next_batch,
                key=run.key,
                sent_s=run.sent_s,
                need=need,
            )
        )
        self.free -= need

    def incarnation(self) -> runs.Incarnation | None:
        """Return the incarnation of the endpoint, if one is known."""
        if self.endpoint is None:
            return None
        return runs.incarnation(self.endpoint)

    def remove_run(self, key: runs.RunKey) -> None:
        """Remove a run that has ended or will never start.

        The batch that ordered it may be lost, and is acknowledged no more.
        """
        del self.runs[key]
        self.stops.pop(key, None)
        for start in self.unreported_starts:
            if start.key == key:
                self.unreported_starts.remove(start)
                self.free += start.need
                break

    def is_usable(self, now_s: float) -> bool:
        """Tell whether new runs may be placed here."""
        return (
            self.endpoint is not None
            # Otherwise the load is that of an endpoint which no heartbeat has
            # named yet, and orders for the earlier one would be refused.
            and self.load.attachment == self.attachment
            and self.load.accepting
            and not self.needs_query
            and not self.has_overdue_batch(now_s)
            and now_s - self.granted_s <= HEARTBEAT_TIMEOUT_S
            and self.endpoint.failure_domain not in self.domains.evacuated
            and now_s >= self.ejected_until_s
            and not self.is_on_probation()
        )

    def is_evacuated(self) -> bool:
        """Tell whether the failure domain of the endpoint is evacuated."""
        return self.endpoint is not None and self.domains.is_evacuated(
            self.endpoint.failure_domain
        )

    def domain_update(self) -> runs.OptionalDomainState:
        """Return what the agent must learn of its failure domain."""
        if self.endpoint is None:
            return runs.NO_DOMAIN_STATE
        return self.domains.update_for(
            self.endpoint.failure_domain, self.reported_state
        )

    def is_on_probation(self) -> bool:
        """Tell whether an ejected agent has a trial run in progress."""
        return self.ejections > 0 and bool(self.runs)

    def has_overdue_batch(self, now_s: float) -> bool:
        """Tell whether a batch of starts is unacknowledged for too long."""
        return bool(self.unreported_starts) and (
            now_s - self.unreported_starts[0].sent_s > BATCH_ACK_TIMEOUT_S
        )

    def take_due_queries(self, now_s: float) -> tuple[runs.RunKey, ...]:
        """Return the runs to query now, and schedule their next query."""
        due = [r for r in self.runs.values() if now_s >= r.next_query_s]
        for run in due:
            run.next_query_s = now_s + QUERY_PERIOD_S
        return tuple(run.key for run in due)

    def is_lost(self, now_s: float) -> bool:
        """Tell whether all runs here have certainly ended by now."""
        return now_s - self.last_heartbeat_s > leases.AGENT_TIMEOUT_S

    def record_success(self) -> None:
        """Record a successful run, which ends any probation."""
        self.failed_jobs.clear()
        self.ejections = 0

    def record_failure(self, job: str) -> bool:
        """Record a failed run; tell whether the agent should be ejected."""
        self.failed_jobs.add(job)
        return len(self.failed_jobs) >= EJECT_AFTER_FAILED_JOBS

    def eject(self, now_s: float) -> None:
        """Place no new runs here for a while."""
        self.failed_jobs.clear()
        pause_s = min(EJECTION_S * 2.0**self.ejections, MAX_EJECTION_S)
        self.ejected_until_s = now_s + pause_s
        self.ejections += 1
