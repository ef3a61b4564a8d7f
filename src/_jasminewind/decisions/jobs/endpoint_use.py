"""The endpoint that an agent uses: attachment, reachability, departure."""

from _jasminewind import metrics
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import allocation
from _jasminewind.decisions.jobs import departures
from _jasminewind.decisions.jobs import early_moves
from _jasminewind.decisions.jobs import leases
from _jasminewind.decisions.jobs import run_stops
from _jasminewind.messages import runs

# Raise of the fencing token when the endpoint has seen a higher one, which
# happens after its wall clock was set back.
FENCING_TOKEN_STEP_MS = 10_000


class EndpointUse(run_stops.RunStops):
    """Tracks one incarnation of the endpoint at a time, and its lease."""

    def __init__(
        self, *, agent: str, started_s: float, meter: metrics.Meter
    ) -> None:
        """Create the state of the agent named ``agent``.

        The agent's previous process had ended by ``started_s``.
        """
        super().__init__(agent=agent, meter=meter)
        # Until then runs of an earlier process may be in progress, on this
        # endpoint or another.
        self.earlier_leases_end_s = started_s + leases.MAX_LEASE_S
        self.may_have_earlier_runs = True
        # Later processes learn from the registration that this one existed.
        self.is_registered = False
        self.last_announcement_s = 0.0
        self.lease = leases.EndpointLease()
        # Number of the last end that the endpoint has listed.
        self.last_end = 0
        # False until the endpoint has listed no unknown run.
        self.is_reconciled = False
        self.is_reachable = False
        self.is_draining = False
        # How long the endpoint stays while it drains, if it announced that.
        self.drain_notice: early_moves.DrainNotice | None = None
        # Set while the endpoint is expected to end: it takes no new runs, and
        # its lease is not renewed.
        self.departure: departures.Departure | None = None
        self.departures = departures.Departures()
        self.is_leaving = False
        self.is_renewing = False
        # The last endpoint, while none is in use.
        self.dropped: runs.EndpointRecord | None = None
        # Birth of the last life that is called with a token of its own time.
        self.fenced_born_ms = 0

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
            and not self.is_evacuated()
            and not self.departure
            and not self.may_have_earlier_runs
            and not self.is_leaving
        )

    def learn_domain_state(
        self, state: runs.OptionalDomainState, now: core.Instant
    ) -> None:
        """Record the state that an entry reports of the own failure domain.

        When its evacuation begins, queued runs are handed back; those that
        the endpoint was told to start go on.
        """
        if (
            self.endpoint is None
            or not isinstance(state, runs.DomainState)
            or state.domain != self.endpoint.failure_domain
        ):
            return
        self.evacuations.merge(state)
        for change in self.evacuations.take_changes():
            self.load_changed = True
            count = len(self.allocation.runs) - len(self.allocation.queue)
            verb = "begins" if change.is_evacuated else "ends"
            self.log(
                "evacuation",
                f"of {change.domain} {verb} by version {change.version} of "
                f"the table; {count} runs go on",
            )
        self.reject_if_evacuated(now)

    def reject_if_evacuated(self, now: core.Instant) -> None:
        """Hand queued runs back while the failure domain is evacuated."""
        if self.is_evacuated():
            self.reject_queued("its failure domain is evacuated", now)

    def attach(
        self, record: runs.EndpointRecord, clock_ms: int, now: core.Instant
    ) -> None:
        """Switch to a new incarnation of the endpoint."""
        self.end_lapsed_runs("the endpoint was replaced", now)
        self.endpoint = record
        self.allocation.capacity = record.capacity
        self.is_draining = False
        self.drain_notice = None
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
        self.dropped = None
        self.fenced_born_ms = record.born_ms
        self.is_reconciled = False
        self.is_renewing = False
        self.unknown_stop_sent_s.clear()
        self.load_changed = True
        self.log(
            "attach", f"fencing token {self.fencing_token}, {record.capacity}"
        )

    def is_endpoint_gone(self, now: core.Instant) -> bool:
        """Tell whether no known endpoint can be executing a run.

        One that does not answer keeps its runs until its lease expires.
        """
        if self.endpoint is None:
            return True
        is_used = self.is_reachable and not self.departure
        has_lapsed = self.lease.has_expired(now.mono_s)
        return has_lapsed and not is_used and not self.may_have_earlier_runs

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
        self.departures.record(self.departure)
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
        return self.departures.has_departed_since(
            runs.incarnation(record), clock_ms
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
        self.dropped = self.endpoint
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

    def is_outdated(
        self, outcome: actions.CallOutcome, fencing_token: int
    ) -> bool:
        """Tell whether a call was refused as it came after later ones.

        Its ``fencing_token`` is below that of the calls sent since.
        """
        is_fenced = outcome is actions.CallOutcome.FENCED
        return is_fenced and fencing_token < self.fencing_token

    def observe_reply(
        self, reply: actions.CallReply, fencing_token: int, now: core.Instant
    ) -> None:
        """Update the clock of the endpoint, and raise a stale token.

        The call had ``fencing_token``.
        """
        if reply.outcome is actions.CallOutcome.OTHER_ENDPOINT:
            return
        if self.lease.has_restarted(reply.clock_ms, now.mono_s):
            self.lease.allow_for_later_life(now.mono_s)
            self.expect_end("its clock has started anew", now)
        elif reply.clock_ms:
            self.lease.observe_clock(reply.clock_ms, now.mono_s)
        if self.is_outdated(reply.outcome, fencing_token):
            return
        if reply.outcome is actions.CallOutcome.FENCED and self.endpoint:
            self.raise_fencing_token(self.endpoint.born_ms + reply.clock_ms)

    def raise_fencing_token(self, wall_ms: int) -> None:
        """Raise a token that the endpoint has refused at its ``wall_ms``."""
        if wall_ms > self.fencing_token:
            self.fencing_token = wall_ms
        else:
            self.fencing_token += FENCING_TOKEN_STEP_MS
        self.log("fence", f"fencing token raised to {self.fencing_token}")

    def may_renew(self, now: core.Instant) -> bool:
        """Tell whether the lease may be extended.

        Not while a stop is unanswered for too long, or while the endpoint is
        expected to end.
        """
        return not self.departure and not self.unanswered_stops(now)

    def unanswered_stops(self, now: core.Instant) -> list[allocation.Run]:
        """Return the runs whose stop has been unanswered for too long."""
        return [
            run
            for run in self.allocation.runs.values()
            if now.mono_s >= run.renew_until_s and not run.stop_answered_s
        ]

    def report_unanswered_stops(self, now: core.Instant) -> None:
        """Report once for each run that its stop lets the lease expire."""
        for run in self.unanswered_stops(now):
            if not run.has_held_lease:
                run.has_held_lease = True
                waited_s = now.mono_s - run.stop_sent_s
                self.meter.add(metrics.STOPS_UNANSWERED)
                self.log(
                    "stop_unanswered",
                    f"the stop sent {waited_s:.2f} s ago is not answered; "
                    "until then the lease is not extended",
                    run.key,
                )
