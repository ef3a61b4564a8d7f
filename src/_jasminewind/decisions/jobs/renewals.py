"""Renewals of the lease of an endpoint, which list the state of its runs."""

from _jasminewind import metrics
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import allocation
from _jasminewind.decisions.jobs import later_lives
from _jasminewind.messages import runs

# Long-poll timeouts of renewals: the endpoint replies earlier if a run ends.
# While runs are active, a lost reply must not hide their ends for long. The
# idle timeout is short enough to renew the lease of a run that starts
# meanwhile before it expires.
RENEWAL_WAIT_S = 0.1
IDLE_RENEWAL_WAIT_S = 0.25
# Consecutive renewals without a reply before the endpoint counts as
# unreachable; single replies get lost while others arrive.
MAX_FAILED_RENEWALS = 3
# Runs that a log line names.
MAX_LOGGED_RUNS = 4
# Delay before a failed renewal is retried.
RENEWAL_RETRY_S = 0.05


class Renewals(later_lives.LaterLives):
    """Renews the lease, and reconciles the runs with what is listed."""

    def __init__(
        self,
        *,
        agent: str,
        started_s: float = 0.0,
        meter: metrics.Meter = metrics.NO_METER,
        early_moves: bool = True,
    ) -> None:
        """Create the renewals of the agent named ``agent``.

        The agent's previous process had ended by ``started_s``. With
        ``early_moves``, runs that would end after a draining endpoint has
        left are stopped at once.
        """
        super().__init__(agent=agent, started_s=started_s, meter=meter)
        self.next_renewal_s = 0.0
        self.early_moves = early_moves

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
            run.fencing_token = self.fencing_token
            self.actions.append(
                actions.CallStart(
                    endpoint=self.endpoint,
                    fencing_token=self.fencing_token,
                    order=run.order,
                    deadline_ms=run.deadline_ms,
                )
            )

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
            self.report_unanswered_stops(now)
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

    def on_renew_reply(
        self,
        call: actions.CallRenew,
        reply: actions.RenewReply,
        now: core.Instant,
    ) -> core.Actions:
        """Handle the state of the endpoint, and renew again."""
        if call.attachment != self.attachment:
            return []
        if self.endpoint is None:
            self.on_reply_without_endpoint(call, reply, now)
            return self.flush()
        if not call.is_out_of_band:
            self.is_renewing = False
        if is_other_incarnation(call.endpoint, reply):
            if not call.is_out_of_band:
                self.next_renewal_s = now.mono_s + RENEWAL_RETRY_S
            if self.departure is None:
                self.log("other_life", describe_reply(call, reply))
            self.expect_end("another incarnation replied", now)
            if reply.outcome is actions.CallOutcome.DONE:
                self.on_later_life(call, reply, now)
            return self.flush()
        self.observe_reply(
            actions.CallReply(outcome=reply.outcome, clock_ms=reply.clock_ms),
            call.fencing_token,
            now,
        )
        if self.is_outdated(reply.outcome, call.fencing_token):
            if not call.is_out_of_band:
                self.renew(now)
            return self.flush()
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


def describe_reply(call: actions.CallRenew, reply: actions.RenewReply) -> str:
    """Return what a reply of another incarnation tells, for the log."""
    if reply.outcome is not actions.CallOutcome.DONE:
        return reply.outcome.value
    listed = [str(run.key) for run in reply.running[:MAX_LOGGED_RUNS]]
    return (
        f"born {reply.born_ms}, clock {reply.clock_ms} ms, "
        f"{len(reply.running)} runs {listed}, "
        f"called with fencing token {call.fencing_token}"
    )


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
