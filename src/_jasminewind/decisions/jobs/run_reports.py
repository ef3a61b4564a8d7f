"""Reports of an agent to entries: ends of runs, and its load."""

import abc
import collections

from _jasminewind import members
from _jasminewind import metrics
from _jasminewind import resources
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import allocation
from _jasminewind.decisions.jobs import evacuations
from _jasminewind.decisions.jobs import grants
from _jasminewind.decisions.jobs import recent_ends
from _jasminewind.decisions.jobs import speed
from _jasminewind.messages import runs

# Limit of the load reports that an agent sends to all entries together: with
# three entries one per tick to each, and fewer to each with more entries, so
# that an entry does not receive more when agents and entries grow alike.
# Heartbeats and ends of runs carry the load as well.
LOAD_MESSAGES_PER_S = 60
# A load that leaves this share free, after one that did, is reported at once
# only to entries that ordered something: for the others the next heartbeat is
# early enough.
AMPLE_FREE_SHARE = 0.5
# A measured speed that changed by this factor is reported at once. Agents
# whose speeds differ by less count as equal.
REPORTED_CHANGE = 1.25


class RunReports(core.StateMachine):
    """Ends runs, and reports that and the load to their owners."""

    def __init__(self, *, agent: str, meter: metrics.Meter) -> None:
        """Create the reports of the agent named ``agent``."""
        self.meter = meter
        self.endpoint: runs.EndpointRecord | None = None
        # How often this agent has attached to an endpoint.
        self.attachment = 0
        self.allocation = allocation.Allocation()
        self.grants = grants.Grants(agent)
        self.recent_ends = recent_ends.RecentEnds()
        self.evacuations = evacuations.Evacuations()
        self.failed_renewals = 0
        self.load_sequence = 0
        self.load_changed = False
        self.was_ample = False
        self.next_load_report_s = 0.0
        self.speed: speed.SpeedModel = speed.SpeedEstimate()
        self.reported_slowness = 1.0
        self.ends: dict[members.NodeId, list[runs.RunEnd]] = (
            collections.defaultdict(list)
        )
        self.actions: core.Actions = []

    @abc.abstractmethod
    def is_accepting(self) -> bool:
        """Tell whether new runs are accepted."""

    def is_evacuated(self) -> bool:
        """Tell whether the failure domain of the endpoint is evacuated."""
        return self.endpoint is not None and self.evacuations.is_evacuated(
            self.endpoint.failure_domain
        )

    def domain_state(self) -> runs.OptionalDomainState:
        """Return what to report of the endpoint's failure domain."""
        if self.endpoint is None:
            return runs.NO_DOMAIN_STATE
        return self.evacuations.report(self.endpoint.failure_domain)

    def flush(self) -> core.Actions:
        """Return the accumulated actions, with the ends for each owner."""
        for owner, ends in self.ends.items():
            message = runs.RunsEnded(
                ends=tuple(ends), load=self.load_report(owner)
            )
            self.actions.append(actions.send(owner, message))
        self.ends.clear()
        flushed, self.actions = self.actions, []
        return flushed

    def log(
        self, kind: str, reason: str, key: runs.RunKey | None = None
    ) -> None:
        """Add an entry to the decision log, about a run if ``key`` is set."""
        task = "" if key is None else str(key)
        self.actions.append(
            core.LogDecision(
                kind=kind,
                work_id=task.partition(".")[0],
                task=task,
                choice="" if self.endpoint is None else self.endpoint.name,
                reason=reason,
            )
        )

    def is_idle(self) -> bool:
        """Tell whether no run is active or queued."""
        return not self.allocation.runs

    def end_run(
        self,
        run: allocation.Run,
        outcome: runs.RunOutcome,
        now: core.Instant,
        *,
        checkpoint: str = "",
        reason: str = "",
    ) -> None:
        """Remove a run and report its end to its owner."""
        self.allocation.remove(run)
        run_s = now.mono_s - run.started_s if run.started_s else 0.0
        if outcome is runs.RunOutcome.DONE and not self.failed_renewals:
            # After a failed renewal the time of the end is unknown.
            self.speed.record(expected_s(run.order), run_s, now.mono_s)
        self.meter.add(metrics.RUNS_ENDED, outcome=outcome.value)
        if run_s:
            self.meter.record(metrics.RUN_TIME, run_s)
        is_moved = run.is_moved and outcome is runs.RunOutcome.STOPPED
        if is_moved:
            reason = "the endpoint may leave before its end"
        end = runs.RunEnd(
            key=run.key,
            outcome=outcome,
            is_moved=True if is_moved else runs.NO_FLAG,
            run_s=run_s,
            checkpoint=checkpoint,
            reason=reason,
        )
        self.recent_ends.record(end, now.mono_s)
        self.ends[run.owner].append(end)
        self.load_changed = True

    def update_speed(self, now: core.Instant) -> None:
        """Update the measured speed, and report a large change at once.

        After a failed renewal some of the runs may have ended.
        """
        running = []
        if not self.failed_renewals:
            running = [
                speed.RunningTime(
                    expected_s(run.order), now.mono_s - run.started_s
                )
                for run in self.allocation.runs.values()
                if run.state is allocation.RunState.RUNNING
                and not run.is_stopping
            ]
        self.speed.update(running, now.mono_s)
        change = self.speed.slowness / self.reported_slowness
        if not 1.0 / REPORTED_CHANGE < change < REPORTED_CHANGE:
            self.load_changed = True

    def refuse_run(
        self,
        owner: members.NodeId,
        key: runs.RunKey,
        reason: str,
        now: core.Instant,
    ) -> None:
        """Report that a run will never start here."""
        end = runs.RunEnd(
            key=key, outcome=runs.RunOutcome.NOT_STARTED, reason=reason
        )
        if key not in self.allocation.runs:
            self.recent_ends.record_refusal(end, now.mono_s)
        self.ends[owner].append(end)

    def report_absent(
        self, owner: members.NodeId, key: runs.RunKey, now: core.Instant
    ) -> None:
        """Report how a run ended, or that it will never start here."""
        end = self.recent_ends.get(key)
        if end is not None:
            self.ends[owner].append(end)
        else:
            self.refuse_run(
                owner, key, "the order to start it never arrived", now
            )

    def has_ample_capacity(self) -> bool:
        """Tell whether what the entries order meanwhile will fit."""
        used = self.allocation.used + self.allocation.queued
        used_share = used.share_of(self.allocation.capacity)
        return self.is_accepting() and used_share <= 1.0 - AMPLE_FREE_SHARE

    def report_load(self, now: core.Instant) -> None:
        """Report a changed load to the entries that it matters to."""
        is_ample = self.has_ample_capacity()
        receivers = self.grants.served_owners()
        if is_ample and self.was_ample:
            receivers = [n for n in receivers if self.grants.owes_batch(n)]
        self.load_changed = False
        self.was_ample = is_ample
        period_s = len(receivers) / LOAD_MESSAGES_PER_S
        self.next_load_report_s = now.mono_s + period_s
        for node in receivers:
            message = runs.LoadChanged(load=self.load_report(node))
            self.actions.append(actions.send(node, message))

    def load_report(
        self, receiver: members.NodeId | None = None
    ) -> runs.AgentLoad:
        """Return the load to report to ``receiver``.

        A heartbeat goes to addresses whose process is not known yet, so it
        names no batch.
        """
        self.load_sequence += 1
        self.reported_slowness = self.speed.slowness
        batch = 0 if receiver is None else self.grants.report_batch(receiver)
        is_served = receiver is None or self.grants.serves(receiver)
        free = self.allocation.free()
        return runs.AgentLoad(
            sequence=self.load_sequence,
            accepting=self.is_accepting() and is_served,
            free=resources.Resources(
                cores=round(free.cores, 3),
                memory_mb=round(free.memory_mb, 3),
                accelerators=round(free.accelerators, 3),
            ),
            running=len(self.allocation.runs) - len(self.allocation.queue),
            queued=len(self.allocation.queue),
            slowness=max(round(self.speed.slowness, 3), speed.MIN_SLOWNESS),
            slowness_error=round(self.speed.error, 2),
            owners=max(len(self.grants.served_owners()), 1),
            batch=batch,
            attachment=self.attachment,
        )


def expected_s(order: runs.RunOrder) -> float:
    """Return the expected time of a run on an endpoint of usual speed."""
    return order.estimate_s * order.slowdown
