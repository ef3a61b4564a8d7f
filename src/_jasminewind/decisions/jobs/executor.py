"""Starts, stops and supervises the runs of one endpoint."""

import collections
import math
import typing

from _jasminewind import members
from _jasminewind import metrics
from _jasminewind import resources
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import allocation
from _jasminewind.decisions.jobs import departures
from _jasminewind.decisions.jobs import grants
from _jasminewind.decisions.jobs import leases
from _jasminewind.decisions.jobs import recent_ends
from _jasminewind.decisions.jobs import registry
from _jasminewind.decisions.jobs import speed
from _jasminewind.messages import runs

# An unanswered stop is retried after this time.
STOP_RETRY_S = 0.3
# Long-poll timeouts of renewals: the endpoint replies earlier if a run ends.
# While runs are active, a lost reply must not hide their ends for long. The
# idle timeout is short enough to renew the lease of a run that starts
# meanwhile before it expires.
RENEWAL_WAIT_S = 0.1
IDLE_RENEWAL_WAIT_S = 0.25
# Consecutive renewals without a reply before the endpoint counts as
# unreachable; single replies get lost while others arrive.
MAX_FAILED_RENEWALS = 3
# Delay before a failed renewal is retried.
RENEWAL_RETRY_S = 0.05
# Endpoints announce themselves every 1.5 s. One that has missed three and does
# not answer either counts as gone once its lease has expired.
ANNOUNCEMENT_TIMEOUT_S = 4.5
# Raise of the fencing token when the endpoint has seen a higher one, which
# happens after its wall clock was set back.
FENCING_TOKEN_STEP_MS = 10_000
# Limit of the load reports that an agent sends to all entries together: with
# three entries one per tick to each, and fewer to each with more entries, so
# that an entry does not receive more when agents and entries grow alike.
# Heartbeats and ends of runs carry the load as well.
LOAD_MESSAGES_PER_S = 60
# A load that leaves this share free, after one that did, is reported at once
# only to entries that ordered something: for the others the next heartbeat is
# early enough.
AMPLE_FREE_SHARE = 0.5


class RunExecutor(core.StateMachine):
    """Admits, starts and stops runs on the endpoint of one agent.

    Runs continue only while their owner acknowledges heartbeats and this
    agent renews the lease of the endpoint.
    """

    TICK_S = 0.05

    def __init__(
        self,
        *,
        agent: str,
        started_s: float = 0.0,
        meter: metrics.Meter = metrics.NO_METER,
    ) -> None:
        """Create the executor of the agent named ``agent``.

        The agent's previous process had ended by ``started_s``.
        """
        self.meter = meter
        # Until then runs of an earlier process may be in progress, on this
        # endpoint or another.
        self.earlier_leases_end_s = started_s + leases.MAX_LEASE_S
        self.may_have_earlier_runs = True
        # Later processes learn from the registration that this one existed.
        self.is_registered = False
        self.endpoint: runs.EndpointRecord | None = None
        self.last_announcement_s = 0.0
        self.lease = leases.EndpointLease()
        self.fencing_token = 0
        # Number of the last end that the endpoint has listed.
        self.last_end = 0
        # False until the endpoint has listed no unknown run.
        self.is_reconciled = False
        self.is_reachable = False
        self.is_draining = False
        # Set while the endpoint is expected to end: it takes no new runs, and
        # its lease is not renewed.
        self.departure: departures.Departure | None = None
        self.last_departure: departures.Departure | None = None
        # How often this agent has attached to an endpoint.
        self.attachment = 0
        self.is_leaving = False
        self.is_renewing = False
        self.failed_renewals = 0
        self.next_renewal_s = 0.0
        self.allocation = allocation.Allocation()
        self.grants = grants.Grants(agent)
        self.recent_ends = recent_ends.RecentEnds()
        self.unknown_stop_sent_s: dict[runs.RunKey, float] = {}
        self.load_sequence = 0
        self.load_changed = False
        self.was_ample = False
        self.next_load_report_s = 0.0
        self.speed = speed.SpeedEstimate()
        self.ends: dict[members.NodeId, list[runs.RunEnd]] = (
            collections.defaultdict(list)
        )
        self.actions: core.Actions = []

    def handles(self) -> typing.Iterable[type]:
        """Return the types of messages that owners send."""
        return (
            runs.BeatEcho,
            runs.StartRuns,
            runs.StopRuns,
            runs.QueryRuns,
        )

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

    # Endpoint

    def set_entries(
        self, entries: tuple[registry.EntryAddress, ...], now: core.Instant
    ) -> None:
        """Set the registered entries, of which a subset is served."""
        self.grants.set_entries(entries, now.mono_s)

    def on_announcement(
        self,
        record: runs.EndpointRecord,
        *,
        clock_ms: int,
        is_draining: bool,
        now: core.Instant,
    ) -> core.Actions:
        """Handle an announcement of the endpoint.

        Another incarnation takes the place of the known one once that is
        gone.
        """
        if self.has_departed_since(record, clock_ms):
            return []
        known = self.endpoint
        if known is None or self.incarnation() != runs.incarnation(record):
            if not self.is_endpoint_gone(now):
                return []
            self.attach(record, clock_ms, now)
        elif record != known:
            self.endpoint = record
            self.allocation.capacity = record.capacity
            self.load_changed = True
        self.last_announcement_s = now.mono_s
        if self.departure is not None and not is_draining:
            reason = self.departure.reason
            self.log("endpoint_stays", f"it announced itself after: {reason}")
            self.departure = None
            self.load_changed = True
        if is_draining != self.is_draining:
            self.is_draining = is_draining
            self.load_changed = True
            self.log("endpoint_state", f"draining: {is_draining}")
            if is_draining:
                self.reject_queued("the endpoint is draining", now)
        self.start_queued(now)
        return self.flush()

    def is_endpoint_gone(self, now: core.Instant) -> bool:
        """Tell whether no known endpoint can be executing a run.

        One that does not answer keeps its runs until its lease expires.
        """
        if self.endpoint is None:
            return True
        is_used = self.is_reachable and not self.departure
        has_lapsed = self.lease.has_expired(now.mono_s)
        return has_lapsed and not is_used and not self.may_have_earlier_runs

    def on_registered(self, *, is_first: bool) -> None:
        """Learn that this agent is registered.

        If no process was registered before, none has accepted work.
        """
        self.is_registered = True
        if is_first:
            self.forget_earlier_runs()

    def forget_earlier_runs(self) -> None:
        """Record that no run of an earlier process is in progress."""
        if self.may_have_earlier_runs:
            self.may_have_earlier_runs = False
            self.load_changed = True

    def restore_endpoint(
        self, record: runs.EndpointRecord, now: core.Instant
    ) -> core.Actions:
        """Attach to the endpoint that an earlier process here was using.

        Its replies show whether it is still alive, and its clock.
        """
        if self.endpoint is None:
            self.last_announcement_s = now.mono_s
            self.log("recall", f"{record.name} was attached before a restart")
            self.attach(record, 0, now)
        return self.flush()

    def attach(
        self, record: runs.EndpointRecord, clock_ms: int, now: core.Instant
    ) -> None:
        """Switch to a new incarnation of the endpoint."""
        self.end_lapsed_runs("the endpoint was replaced", now)
        self.endpoint = record
        self.allocation.capacity = record.capacity
        self.is_draining = False
        self.departure = None
        self.attachment += 1
        self.lease = leases.EndpointLease()
        self.lease.observe_clock(clock_ms, now.mono_s)
        # Based on the wall time of the endpoint, so that it rises with each
        # agent process and with each incarnation of the endpoint.
        self.fencing_token = max(
            self.fencing_token + 1, record.born_ms + clock_ms
        )
        self.last_end = 0
        self.is_reconciled = False
        self.is_renewing = False
        self.unknown_stop_sent_s.clear()
        self.load_changed = True
        self.log(
            "attach", f"fencing token {self.fencing_token}, {record.capacity}"
        )
        self.renew(now)

    def on_endpoint_left(self, name: str, now: core.Instant) -> core.Actions:
        """Handle the message of the endpoint that it is leaving."""
        if self.endpoint is not None and self.endpoint.name == name:
            self.expect_end("it announced that it is leaving", now)
        return self.flush()

    def expect_end(self, reason: str, now: core.Instant) -> None:
        """Use the endpoint no longer, as it is expected to end.

        It may take any time for that. Its runs end when it lists their end,
        which a stop hastens, or when the lease expires.
        """
        known = self.incarnation()
        if known is None or self.departure is not None:
            return
        clock_ms = self.lease.estimated_clock_ms(now.mono_s)
        self.departure = departures.Departure(known, clock_ms, reason)
        self.last_departure = self.departure
        self.load_changed = True
        self.log("endpoint_leaving", reason)
        self.reject_queued(reason, now)
        for run in list(self.allocation.runs.values()):
            self.stop_run(run, runs.RunOutcome.LAPSED, now)
        self.drop_departed(now)

    def has_departed_since(
        self, record: runs.EndpointRecord, clock_ms: int
    ) -> bool:
        """Tell whether an endpoint has left since it announced itself."""
        last = self.last_departure
        return (
            last is not None
            and last.incarnation == runs.incarnation(record)
            and not last.is_before(clock_ms)
        )

    def drop_departed(self, now: core.Instant) -> None:
        """Drop an endpoint that is expected to end, once it runs nothing."""
        if self.departure is None or self.allocation.runs:
            return
        if self.is_reconciled or self.is_endpoint_gone(now):
            self.drop_endpoint(self.departure.reason)

    def drop_endpoint(self, reason: str) -> None:
        """Drop the endpoint until it announces itself again."""
        self.log("endpoint_gone", reason)
        self.endpoint = None
        self.departure = None
        self.is_reconciled = False
        self.load_changed = True

    def end_lapsed_runs(self, reason: str, now: core.Instant) -> None:
        """End all runs if the lease of the endpoint has expired.

        Without a listed end this alone proves that a run has ended.
        """
        if not self.allocation.runs or not self.lease.has_expired(now.mono_s):
            return
        self.log("lease_lapsed", reason)
        for run in list(self.allocation.runs.values()):
            outcome = runs.RunOutcome.LAPSED
            if run.state is allocation.RunState.QUEUED:
                outcome = runs.RunOutcome.NOT_STARTED
            else:
                self.meter.add(metrics.RUNS_GIVEN_UP)
                self.log("give_up", reason, run.key)
            self.end_run(run, outcome, now, reason=reason)
        self.is_reconciled = False
        self.load_changed = True

    def incarnation(self) -> runs.Incarnation | None:
        """Return the incarnation of the endpoint, if one is attached."""
        return (
            None if self.endpoint is None else runs.incarnation(self.endpoint)
        )

    def is_accepting(self) -> bool:
        """Tell whether new runs are accepted."""
        return (
            self.endpoint is not None
            and self.is_reconciled
            and self.is_reachable
            and not self.is_draining
            and not self.departure
            and not self.may_have_earlier_runs
            and not self.is_leaving
        )

    def begin_shutdown(self, now: core.Instant) -> core.Actions:
        """Refuse new runs and queued ones; running ones may finish."""
        self.is_leaving = True
        self.load_changed = True
        self.reject_queued("the agent is shutting down", now)
        return self.flush()

    def reject_queued(self, reason: str, now: core.Instant) -> None:
        """Refuse all queued runs."""
        for run in list(self.allocation.queue):
            self.end_run(run, runs.RunOutcome.NOT_STARTED, now, reason=reason)

    def is_idle(self) -> bool:
        """Tell whether no run is active or queued."""
        return not self.allocation.runs

    # Owners

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle a message of an owner."""
        if isinstance(message, runs.BeatEcho):
            self.stop_runs(sender, message.stops, now)
            if self.grants.renew(sender, message.sequence, now.mono_s):
                self.log("owner", f"{sender} acknowledged its first heartbeat")
        elif isinstance(message, runs.StartRuns):
            self.on_start_runs(sender, message, now)
        elif isinstance(message, runs.StopRuns):
            self.stop_runs(sender, message.keys, now)
        elif isinstance(message, runs.QueryRuns):
            self.on_query(sender, message, now)
        return self.flush()

    def on_start_runs(
        self,
        sender: members.NodeId,
        message: runs.StartRuns,
        now: core.Instant,
    ) -> None:
        """Queue the runs of a batch, or refuse them as not started."""
        self.stop_runs(sender, message.stops, now)
        self.grants.record_batch(sender, message.batch, now.mono_s)
        age_s = self.grants.heartbeat_age_s(message.grant, now.mono_s)
        if age_s <= leases.OWNER_GRANT_S:
            # A start under a grant proves that its owner is alive, as an
            # acknowledgement of the heartbeat does.
            self.grants.renew(sender, message.grant, now.mono_s)
        is_other = message.endpoint not in (None, self.incarnation())
        for order in message.orders:
            if self.is_repeated(sender, order.key, now):
                continue
            reason = self.refusal(order, age_s)
            if is_other:
                reason = "the order is for another life of the endpoint"
            if reason:
                self.log("refuse_run", reason, order.key)
                self.meter.add(metrics.ORDERS_REFUSED)
                self.refuse_run(sender, order.key, reason, now)
            else:
                due_s = now.mono_s + order.slack_s
                self.allocation.enqueue(allocation.Run(order, sender, due_s))
        self.load_changed = True
        self.start_queued(now)

    def refusal(self, order: runs.RunOrder, age_s: float) -> str:
        """Return why an order is refused, empty if it is accepted."""
        if not self.is_accepting():
            return "the endpoint takes no new work"
        if age_s > leases.OWNER_GRANT_S:
            return f"the grant of {age_s:.2f} s ago has expired"
        return self.allocation.refusal(order)

    def is_repeated(
        self, owner: members.NodeId, key: runs.RunKey, now: core.Instant
    ) -> bool:
        """Tell whether an order is a repetition, and report its run's end."""
        run = self.allocation.runs.get(key)
        if run is None and key in self.recent_ends:
            self.report_absent(owner, key, now)
            return True
        return run is not None and run.owner == owner

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

    def on_query(
        self,
        sender: members.NodeId,
        message: runs.QueryRuns,
        now: core.Instant,
    ) -> None:
        """Report which of the queried runs have ended or are unknown.

        The owner may also lack the acknowledgement of the others' batch.
        """
        self.grants.repeat_batch(sender)
        self.load_changed = True
        for key in message.keys:
            if key not in self.allocation.runs:
                self.report_absent(sender, key, now)

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

    def stop_runs(
        self,
        sender: members.NodeId,
        keys: tuple[runs.RunKey, ...],
        now: core.Instant,
    ) -> None:
        """Stop runs of an owner, which repeats this until they have ended.

        The order of a run that is not here may still arrive on another link,
        and the report of one that has ended may be lost. The stop may be late
        itself, so the lease is extended no longer than the grant lasts that
        was acknowledged before it.
        """
        for key in keys:
            run = self.allocation.runs.get(key)
            if run is None:
                self.report_absent(sender, key, now)
            elif run.owner == sender:
                if not run.is_stopping:
                    self.log("stop", f"{sender} has no more need of it", key)
                self.stop_run(
                    run,
                    runs.RunOutcome.STOPPED,
                    now,
                    renew_until_s=self.grants.expires_s(sender),
                )

    def expire_owners(self, now: core.Instant) -> None:
        """Stop the runs of owners whose grant has expired."""
        for owner in self.grants.expire(now.mono_s):
            orphans = [
                run
                for run in self.allocation.runs.values()
                if run.owner == owner.node
            ]
            silent_s = now.mono_s - owner.granted_s
            self.log(
                "owner_lost",
                f"{owner.node} sent no acknowledgement for {silent_s:.2f} s; "
                f"{len(orphans)} runs are stopped",
            )
            for run in orphans:
                self.stop_run(
                    run,
                    runs.RunOutcome.STOPPED,
                    now,
                    renew_until_s=now.mono_s,
                )

    # Starts and stops

    def start_queued(self, now: core.Instant) -> None:
        """Start queued runs while they fit.

        An agent that was paused handles messages before its first tick, and
        must not start runs that their owners have given up.
        """
        self.expire_owners(now)
        if self.endpoint is None or not self.is_accepting():
            return
        if not self.may_renew(now):
            # A start renews the lease to its deadline as well.
            return
        while run := self.allocation.start_next():
            run.deadline_ms = self.lease.next_deadline_ms(now.mono_s)
            self.actions.append(
                actions.CallStart(
                    endpoint=self.endpoint,
                    fencing_token=self.fencing_token,
                    order=run.order,
                    deadline_ms=run.deadline_ms,
                )
            )

    def on_start_reply(
        self, key: runs.RunKey, reply: actions.CallReply, now: core.Instant
    ) -> core.Actions:
        """Handle the reply of the endpoint to a start."""
        run = self.allocation.runs.get(key)
        if run is None:
            return self.flush()
        self.observe_reply(reply, now)
        if run.state is not allocation.RunState.STARTING:
            return self.flush()
        if reply.outcome is actions.CallOutcome.DONE:
            run.state = allocation.RunState.RUNNING
            run.started_s = now.mono_s
            run.last_progress.begin(now.mono_s)
        elif reply.outcome is actions.CallOutcome.LOST:
            run.state = allocation.RunState.UNCONFIRMED
            self.log("start_unanswered", reply.reason, key)
            self.meter.add(metrics.STARTS_UNANSWERED)
            self.stop_run(run, runs.RunOutcome.LAPSED, now)
        else:
            outcome = runs.RunOutcome.NOT_STARTED
            if reply.outcome is actions.CallOutcome.OUTDATED:
                outcome = runs.RunOutcome.OUTDATED
            reason = f"{reply.outcome.value}: {reply.reason}"
            self.log("start_refused", reason, key)
            if reply.outcome is actions.CallOutcome.UNHEALTHY:
                self.set_reachable(False, reason, now)
            self.end_run(run, outcome, now, reason=reason)
        self.start_queued(now)
        return self.flush()

    def observe_reply(
        self, reply: actions.CallReply, now: core.Instant
    ) -> None:
        """Update the clock of the endpoint, and raise a stale token."""
        if reply.outcome is actions.CallOutcome.OTHER_ENDPOINT:
            return
        if self.lease.has_restarted(reply.clock_ms, now.mono_s):
            self.lease.allow_for_later_life(now.mono_s)
            self.expect_end("its clock has started anew", now)
        elif reply.clock_ms:
            self.lease.observe_clock(reply.clock_ms, now.mono_s)
        if reply.outcome is actions.CallOutcome.FENCED and self.endpoint:
            wall_ms = self.endpoint.born_ms + reply.clock_ms
            if wall_ms > self.fencing_token:
                self.fencing_token = wall_ms
            else:
                self.fencing_token += FENCING_TOKEN_STEP_MS
            self.log("fence", f"fencing token raised to {self.fencing_token}")

    def stop_run(
        self,
        run: allocation.Run,
        outcome: runs.RunOutcome,
        now: core.Instant,
        *,
        renew_until_s: float = math.inf,
    ) -> None:
        """Stop a run; a queued one ends at once.

        Until the stop is answered, the lease of the endpoint is renewed up to
        ``renew_until_s`` at most.
        """
        run.renew_until_s = min(run.renew_until_s, renew_until_s)
        if run.state is allocation.RunState.QUEUED:
            outcome = runs.RunOutcome.NOT_STARTED
            self.end_run(run, outcome, now, reason="stopped while queued")
        elif not run.is_stopping:
            run.is_stopping = True
            run.stop_outcome = outcome
            run.stop_sent_s = now.mono_s
            self.call_stop(run.key)

    def call_stop(self, key: runs.RunKey) -> None:
        """Call the endpoint to stop a run."""
        if self.endpoint is not None:
            self.actions.append(
                actions.CallStop(
                    endpoint=self.endpoint,
                    fencing_token=self.fencing_token,
                    key=key,
                )
            )

    def on_stop_reply(
        self, key: runs.RunKey, reply: actions.CallReply, now: core.Instant
    ) -> core.Actions:
        """Handle the reply of the endpoint to a stop."""
        run = self.allocation.runs.get(key)
        if run is None:
            return self.flush()
        self.observe_reply(reply, now)
        if reply.outcome is actions.CallOutcome.DONE:
            run.stop_answered_s = now.mono_s
            if run.state is allocation.RunState.UNCONFIRMED:
                self.read_state()
        return self.flush()

    def read_state(self) -> None:
        """Read the state at once, even while a renewal is pending."""
        if self.endpoint is not None:
            self.actions.append(
                actions.CallRenew(
                    endpoint=self.endpoint,
                    fencing_token=self.fencing_token,
                    deadline_ms=0,
                    last_end=self.last_end,
                    wait_s=0.0,
                    is_out_of_band=True,
                    attachment=self.attachment,
                )
            )

    def has_unanswered_start(self) -> bool:
        """Tell whether a start may have reached a later life."""
        return any(
            run.state
            in (
                allocation.RunState.STARTING,
                allocation.RunState.UNCONFIRMED,
            )
            for run in self.allocation.runs.values()
        )

    def retry_stops(self, now: core.Instant) -> None:
        """Retry unanswered stops."""
        for run in self.allocation.runs.values():
            waited_s = now.mono_s - run.stop_sent_s
            if not run.is_stopping or run.stop_answered_s:
                continue
            if waited_s >= STOP_RETRY_S:
                run.stop_sent_s = now.mono_s
                self.call_stop(run.key)

    # Renewals

    def renew(self, now: core.Instant) -> None:
        """Renew the lease, unless a renewal is pending."""
        if self.endpoint is None or self.is_renewing:
            return
        # The lease of a run must not outlive the grant of its owner.
        self.expire_owners(now)
        self.is_renewing = True
        deadline_ms = 0
        wait_s = 0.0
        if self.is_reconciled:
            # Renewals without a reply may still take effect. While the
            # endpoint is unreachable they only read, so that the lease
            # certainly expires and the runs can be placed elsewhere.
            if self.is_reachable and self.may_renew(now):
                deadline_ms = self.lease.next_deadline_ms(now.mono_s)
            is_idle = self.is_idle()
            wait_s = IDLE_RENEWAL_WAIT_S if is_idle else RENEWAL_WAIT_S
        self.actions.append(
            actions.CallRenew(
                endpoint=self.endpoint,
                fencing_token=self.fencing_token,
                deadline_ms=deadline_ms,
                last_end=self.last_end,
                wait_s=wait_s,
                attachment=self.attachment,
            )
        )

    def may_renew(self, now: core.Instant) -> bool:
        """Tell whether the lease may be extended.

        Not while a stop is unanswered for too long, or while the endpoint is
        expected to end.
        """
        return not self.departure and all(
            run.stop_answered_s or now.mono_s < run.renew_until_s
            for run in self.allocation.runs.values()
        )

    def on_renew_reply(
        self,
        call: actions.CallRenew,
        reply: actions.RenewReply,
        now: core.Instant,
    ) -> core.Actions:
        """Handle the state of the endpoint, and renew again."""
        if self.endpoint is None or call.attachment != self.attachment:
            return []
        if not call.is_out_of_band:
            self.is_renewing = False
        if is_other_incarnation(call.endpoint, reply):
            if not call.is_out_of_band:
                self.next_renewal_s = now.mono_s + RENEWAL_RETRY_S
            self.expect_end("another incarnation replied", now)
            if reply.outcome is actions.CallOutcome.DONE:
                self.on_later_life(call, now)
            return self.flush()
        is_fenced = reply.outcome is actions.CallOutcome.FENCED
        if not is_fenced or call.fencing_token == self.fencing_token:
            self.observe_reply(
                actions.CallReply(
                    outcome=reply.outcome, clock_ms=reply.clock_ms
                ),
                now,
            )
        if reply.outcome is not actions.CallOutcome.DONE:
            if not call.is_out_of_band:
                self.on_failed_renewal(reply, now)
            return self.flush()
        self.lease.observe_state(reply.clock_ms, reply.sent_s)
        self.set_reachable(True, "it replied to a renewal", now)
        self.report_ends(reply, now)
        self.failed_renewals = 0
        self.reconcile_runs(reply, now)
        self.drop_departed(now)
        self.start_queued(now)
        if self.is_reconciled:
            self.renew(now)
        elif not call.is_out_of_band:
            self.next_renewal_s = now.mono_s + RENEWAL_RETRY_S
        return self.flush()

    def on_later_life(
        self, call: actions.CallRenew, now: core.Instant
    ) -> None:
        """Allow for calls that a later life may have taken for its own.

        No start is sent after the first reply that shows it.
        """
        is_first = not self.lease.later_life_s
        if call.deadline_ms or (is_first and self.has_unanswered_start()):
            self.lease.allow_for_later_life(now.mono_s)

    def on_failed_renewal(
        self, reply: actions.RenewReply, now: core.Instant
    ) -> None:
        """Retry a renewal; accept no new runs when retries fail too.

        A refused connection does not prove that the runs have ended, since
        something in between may refuse it. The lease must expire first.
        """
        self.failed_renewals += 1
        self.meter.add(metrics.RENEWALS_LOST)
        was_lost = reply.outcome is actions.CallOutcome.LOST
        if self.failed_renewals >= MAX_FAILED_RENEWALS or not was_lost:
            self.next_renewal_s = now.mono_s + RENEWAL_RETRY_S
            reason = f"renewal failed: {reply.outcome.value}"
            self.set_reachable(False, reason, now)
        else:
            self.renew(now)

    def set_reachable(
        self, is_reachable: bool, reason: str, now: core.Instant
    ) -> None:
        """Record whether the endpoint replies; if not, refuse new runs."""
        if is_reachable != self.is_reachable:
            self.is_reachable = is_reachable
            self.load_changed = True
            self.log("reachable", f"{is_reachable}: {reason}")
            if not is_reachable:
                self.reject_queued("the endpoint does not answer", now)

    def report_ends(
        self, reply: actions.RenewReply, now: core.Instant
    ) -> None:
        """Report the ends of runs that the endpoint lists."""
        for listed in reply.ended:
            if listed.number <= self.last_end:
                continue
            self.last_end = listed.number
            self.unknown_stop_sent_s.pop(listed.key, None)
            run = self.allocation.runs.get(listed.key)
            if run is None:
                continue
            outcome = listed.outcome
            if outcome is runs.RunOutcome.STOPPED:
                outcome = run.stop_outcome
            self.end_run(run, outcome, now, checkpoint=listed.checkpoint)

    def reconcile_runs(
        self, reply: actions.RenewReply, now: core.Instant
    ) -> None:
        """Reconcile the runs that the endpoint lists with those expected."""
        listed = {each.key: each for each in reply.running}
        unknown = [key for key in listed if key not in self.allocation.runs]
        for key in unknown:
            self.stop_unknown(key, now)
        if not self.is_reconciled and not unknown and reply.complete:
            self.is_reconciled = True
            self.load_changed = True
            self.log("settled", "the endpoint lists no unknown run")
        for run in list(self.allocation.runs.values()):
            reported = listed.get(run.key)
            if reported is not None:
                self.check_progress(run, reported, now)
            elif reply.complete and is_absent(run, reply):
                self.end_absent(run, now)

    def end_absent(self, run: allocation.Run, now: core.Instant) -> None:
        """End a run that the endpoint no longer lists."""
        outcome = runs.RunOutcome.LAPSED
        if run.state is allocation.RunState.UNCONFIRMED:
            outcome = runs.RunOutcome.NOT_STARTED
        reason = "the endpoint does not list it"
        self.log("run_absent", reason, run.key)
        self.end_run(run, outcome, now, reason=reason)

    def check_progress(
        self,
        run: allocation.Run,
        reported: actions.RunningRun,
        now: core.Instant,
    ) -> None:
        """Record the progress of a run, and stop it if it is stalled."""
        if run.state is not allocation.RunState.RUNNING or run.is_stopping:
            return
        run.last_progress.record(reported.percent, now.mono_s)
        estimate_s = run.order.estimate_s
        if run.last_progress.is_stalled(estimate_s, now.mono_s):
            ran_s = now.mono_s - run.started_s
            self.log(
                "stall",
                f"{reported.percent}% after {ran_s:.2f} s, "
                f"{estimate_s:.2f} s estimated",
                run.key,
            )
            self.stop_run(run, runs.RunOutcome.STALLED, now)

    def stop_unknown(self, key: runs.RunKey, now: core.Instant) -> None:
        """Stop a run that this process did not start or has given up."""
        sent_s = self.unknown_stop_sent_s.get(key, -STOP_RETRY_S)
        if now.mono_s - sent_s < STOP_RETRY_S:
            return
        self.unknown_stop_sent_s[key] = now.mono_s
        self.log(
            "stop_unknown",
            "the endpoint runs it, but this agent has no record of it",
            key,
        )
        self.call_stop(key)

    # Ends

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
            self.speed.record(run.order.estimate_s, run_s)
        self.meter.add(metrics.RUNS_ENDED, outcome=outcome.value)
        if run_s:
            self.meter.record(metrics.RUN_TIME, run_s)
        end = runs.RunEnd(
            key=run.key,
            outcome=outcome,
            run_s=run_s,
            checkpoint=checkpoint,
            reason=reason,
        )
        self.recent_ends.record(end, now.mono_s)
        self.ends[run.owner].append(end)
        self.load_changed = True

    # Time and load

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Send heartbeats, expire owners and leases, and retry calls."""
        self.expire_owners(now)
        self.retry_stops(now)
        if not self.is_renewing and now.mono_s >= self.next_renewal_s:
            self.renew(now)
        if self.is_registered and now.mono_s > self.earlier_leases_end_s:
            self.forget_earlier_runs()
        self.end_lapsed_runs("the lease of the endpoint has expired", now)
        self.drop_departed(now)
        silent_s = now.mono_s - self.last_announcement_s
        if (
            self.endpoint is not None
            and silent_s > ANNOUNCEMENT_TIMEOUT_S
            and self.is_endpoint_gone(now)
        ):
            self.drop_endpoint(f"no announcement for {silent_s:.1f} s")
        if now.mono_s >= self.grants.next_heartbeat_s:
            self.recent_ends.expire(now.mono_s)
            active = {run.owner for run in self.allocation.runs.values()}
            self.actions += self.grants.heartbeats(
                self.load_report(), self.endpoint, now.mono_s, active
            )
            # Heartbeats acknowledge no batch.
            self.load_changed = any(
                self.grants.owes_batch(n) for n in self.grants.owners
            )
            self.was_ample = self.has_ample_capacity()
        elif self.load_changed and now.mono_s >= self.next_load_report_s:
            self.report_load(now)
        return self.flush()

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
            slowness=round(self.speed.slowness, 3),
            owners=max(len(self.grants.served_owners()), 1),
            batch=batch,
        )


def is_absent(run: allocation.Run, reply: actions.RenewReply) -> bool:
    """Tell whether an unlisted run is certainly not running.

    It may have started after the renewal was sent, or an unconfirmed one may
    still start until its deadline.
    """
    if run.state is allocation.RunState.RUNNING:
        return run.started_s < reply.sent_s
    if run.state is allocation.RunState.UNCONFIRMED:
        was_stopped = 0.0 < run.stop_answered_s < reply.sent_s
        return was_stopped or reply.clock_ms > run.deadline_ms
    return False


def is_other_incarnation(
    known: runs.EndpointRecord, reply: actions.RenewReply
) -> bool:
    """Tell whether another incarnation than the known one replied.

    A later life may seem to be born earlier after its wall clock was set back.
    """
    if reply.outcome is actions.CallOutcome.OTHER_ENDPOINT:
        return True
    return 0 not in (known.born_ms, reply.born_ms) and (
        reply.born_ms != known.born_ms
    )
