"""Starts, stops and supervises the runs of one endpoint."""

import typing

from _jasminewind import members
from _jasminewind import metrics
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import allocation
from _jasminewind.decisions.jobs import early_moves
from _jasminewind.decisions.jobs import leases
from _jasminewind.decisions.jobs import registry
from _jasminewind.decisions.jobs import renewals
from _jasminewind.decisions.jobs import run_reports
from _jasminewind.messages import runs

# Endpoints announce themselves every 1.5 s. One that has missed three and does
# not answer either counts as gone once its lease has expired.
ANNOUNCEMENT_TIMEOUT_S = 4.5


class RunExecutor(renewals.Renewals):
    """Admits, starts and stops runs on the endpoint of one agent.

    Runs continue only while their owner acknowledges heartbeats and this
    agent renews the lease of the endpoint.
    """

    TICK_S = 0.05

    def handles(self) -> typing.Iterable[type]:
        """Return the types of messages that owners send."""
        return (
            runs.BeatEcho,
            runs.StartRuns,
            runs.StopRuns,
            runs.QueryRuns,
        )

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
        drain_remaining_s: float | None = None,
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
            self.renew(now)
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
        self.observe_drain(drain_remaining_s, clock_ms, now)
        self.move_runs(now)
        # The failure domain may be another one than before.
        self.reject_if_evacuated(now)
        self.start_queued(now)
        return self.flush()

    def observe_drain(
        self, remaining_s: float | None, clock_ms: int, now: core.Instant
    ) -> None:
        """Record how long the endpoint announces that it stays at least."""
        if not self.is_draining or remaining_s is None:
            self.drain_notice = None
            return
        is_clock_known = self.lease.clock_ms > 0
        received = early_moves.read_notice(
            remaining_s,
            clock_ms=clock_ms,
            estimated_clock_ms=(
                self.lease.estimated_clock_ms(now.mono_s)
                if is_clock_known
                else 0
            ),
            now_s=now.mono_s,
        )
        self.drain_notice = early_moves.newest(self.drain_notice, received)

    def move_runs(self, now: core.Instant) -> None:
        """Stop the runs that would end after the endpoint has left.

        Their tasks start elsewhere once the endpoint has listed their ends.
        """
        notice = self.drain_notice
        if notice is None or not self.early_moves:
            return
        for run in self.allocation.runs.values():
            # After a checkpoint neither estimate nor progress tells how much
            # of the run is left.
            if (
                run.state is not allocation.RunState.RUNNING
                or run.is_stopping
                or run.order.checkpoint
            ):
                continue
            last_progress = run.last_progress
            active = early_moves.ActiveRun(
                expected_s=run_reports.expected_s(run.order),
                slowness=self.speed.slowness,
                ran_s=now.mono_s - run.started_s,
                percent=last_progress.percent,
                percent_ran_s=last_progress.changed_s - run.started_s,
            )
            reason = early_moves.reason_to_move(active, notice, now.mono_s)
            if reason:
                run.is_moved = True
                self.log("early_move", reason, run.key)
                self.meter.add(metrics.RUNS_MOVED)
                self.stop_run(run, runs.RunOutcome.STOPPED, now)

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
            self.renew(now)
        return self.flush()

    def on_endpoint_left(self, name: str, now: core.Instant) -> core.Actions:
        """Handle the message of the endpoint that it is leaving."""
        if self.endpoint is not None and self.endpoint.name == name:
            self.expect_end("it announced that it is leaving", now)
        else:
            self.departures.record_notice(name, now.mono_s)
            self.log("endpoint_leaving", f"{name} announced it; not in use")
        return self.flush()

    def begin_shutdown(self, now: core.Instant) -> core.Actions:
        """Refuse new runs and queued ones; running ones may finish."""
        self.is_leaving = True
        self.load_changed = True
        self.reject_queued("the agent is shutting down", now)
        return self.flush()

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle a message of an owner."""
        if isinstance(message, runs.BeatEcho):
            self.learn_domain_state(message.domain_state, now)
            self.stop_runs(sender, message.stops, now)
            if self.grants.renew(
                sender,
                message.sequence,
                now.mono_s,
                callers_age_ms=message.callers_age_ms,
            ):
                self.log("owner", f"{sender} acknowledged its first heartbeat")
        elif isinstance(message, runs.StartRuns):
            self.on_start_runs(sender, message, now)
        elif isinstance(message, runs.StopRuns):
            self.stop_runs(
                sender,
                message.keys,
                now,
                callers_age_s=message.callers_age_ms / 1000,
            )
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
        self.learn_domain_state(message.domain_state, now)
        self.stop_runs(sender, message.stops, now)
        self.grants.record_batch(sender, message.batch, now.mono_s)
        callers_age_ms = message.callers_age_ms
        age_s = self.grants.grant_age_s(
            message.grant, now.mono_s, callers_age_ms=callers_age_ms
        )
        if age_s <= leases.OWNER_GRANT_S:
            # A start under a grant proves that its owner is alive, as an
            # acknowledgement of the heartbeat does.
            self.grants.renew(
                sender,
                message.grant,
                now.mono_s,
                callers_age_ms=callers_age_ms,
            )
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
        if self.is_evacuated():
            return "its failure domain is evacuated"
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

    def on_start_reply(
        self, key: runs.RunKey, reply: actions.CallReply, now: core.Instant
    ) -> core.Actions:
        """Handle the reply of the endpoint to a start."""
        run = self.allocation.runs.get(key)
        if run is None:
            return self.flush()
        self.observe_reply(reply, run.fencing_token, now)
        if run.state is not allocation.RunState.STARTING:
            return self.flush()
        if reply.outcome is actions.CallOutcome.DONE:
            run.state = allocation.RunState.RUNNING
            run.started_s = now.mono_s
            run.last_progress.begin(now.mono_s)
        elif reply.outcome is actions.CallOutcome.LOST:
            self.on_start_unanswered(run, reply.reason, now)
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

    def on_start_unanswered(
        self, run: allocation.Run, reason: str, now: core.Instant
    ) -> None:
        """Stop a run whose start may be carried out at any time.

        A later life of the endpoint knows neither the stop nor the clock of
        the deadline. All later calls get a higher fencing token, so that the
        first one to reach a life makes it refuse the start.
        """
        run.state = allocation.RunState.UNCONFIRMED
        self.log(
            "start_unanswered",
            f"{reason}; fencing token {run.fencing_token}, may start until "
            f"{run.deadline_ms} ms on the endpoint's clock",
            run.key,
        )
        self.meter.add(metrics.STARTS_UNANSWERED)
        # One raise covers all starts with the same token.
        if run.fencing_token == self.fencing_token:
            self.fencing_token += 1
        self.late_starts.record(now.mono_s)
        self.stop_run(run, runs.RunOutcome.LAPSED, now)

    def on_stop_reply(
        self, key: runs.RunKey, reply: actions.CallReply, now: core.Instant
    ) -> core.Actions:
        """Handle the reply of the endpoint to a stop."""
        run = self.allocation.runs.get(key)
        if run is None:
            return self.flush()
        self.observe_reply(reply, run.stop_token, now)
        if self.is_outdated(reply.outcome, run.stop_token):
            self.send_stop(run, now)
        if reply.outcome is actions.CallOutcome.DONE:
            run.stop_answered_s = now.mono_s
            if run.state is allocation.RunState.UNCONFIRMED:
                self.read_state()
        return self.flush()

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Send heartbeats, expire owners and leases, and retry calls."""
        self.expire_owners(now)
        self.retry_stops(now)
        self.move_runs(now)
        if not self.is_renewing and now.mono_s >= self.next_renewal_s:
            self.renew(now)
        self.call_later_lives(now)
        if self.is_registered and now.mono_s > self.earlier_leases_end_s:
            self.forget_earlier_runs()
        self.end_lapsed_runs("the lease of the endpoint has expired", now)
        self.drop_departed(now)
        self.update_speed(now)
        silent_s = now.mono_s - self.last_announcement_s
        if (
            self.endpoint is not None
            and silent_s > ANNOUNCEMENT_TIMEOUT_S
            and self.is_endpoint_gone(now)
        ):
            self.drop_endpoint(f"no announcement for {silent_s:.1f} s")
        is_announced = self.grants.announced == (
            self.endpoint,
            self.is_accepting(),
        )
        if now.mono_s >= self.grants.next_heartbeat_s or not is_announced:
            self.recent_ends.expire(now.mono_s)
            active = {run.owner for run in self.allocation.runs.values()}
            self.actions += self.grants.heartbeats(
                self.load_report(),
                self.endpoint,
                now.mono_s,
                active,
                domain_state=self.domain_state(),
            )
            # Heartbeats acknowledge no batch.
            self.load_changed = any(
                self.grants.owes_batch(n) for n in self.grants.owners
            )
            self.was_ample = self.has_ample_capacity()
        elif self.load_changed and now.mono_s >= self.next_load_report_s:
            self.report_load(now)
        return self.flush()
