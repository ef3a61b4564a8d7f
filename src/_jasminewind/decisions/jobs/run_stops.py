"""Stops of runs that their owners no longer need or that may not go on."""

import math

from _jasminewind import members
from _jasminewind import metrics
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import allocation
from _jasminewind.decisions.jobs import leases
from _jasminewind.decisions.jobs import run_reports
from _jasminewind.messages import runs

# An unanswered stop is retried after this time, which is longer than a call
# may take. The lease soon expires meanwhile, so it is short.
STOP_RETRY_S = 0.1
# A stop of a run that this process did not start is retried after this time.
UNKNOWN_STOP_RETRY_S = 0.3


class RunStops(run_reports.RunReports):
    """Stops runs on the endpoint until each stop is answered."""

    def __init__(self, *, agent: str, meter: metrics.Meter) -> None:
        """Create the stops of the agent named ``agent``."""
        super().__init__(agent=agent, meter=meter)
        self.fencing_token = 0
        self.unknown_stop_sent_s: dict[runs.RunKey, float] = {}

    def stop_runs(
        self,
        sender: members.NodeId,
        keys: tuple[runs.RunKey, ...],
        now: core.Instant,
        *,
        callers_age_s: float = 0.0,
    ) -> None:
        """Stop runs of an owner, which repeats this until they have ended.

        The order of a run that is not here may still arrive on another link,
        and the report of one that has ended may be lost.

        The callers were certainly waiting ``callers_age_s`` ago. The stop may
        be late itself, so the lease is also extended no longer than the grant
        lasts that was acknowledged before it.
        """
        renew_until_s = min(
            self.grants.expires_s(sender),
            now.mono_s + leases.STOP_RENEWAL_S,
            now.mono_s - callers_age_s + leases.OWNER_GRANT_S,
        )
        for key in keys:
            run = self.allocation.runs.get(key)
            if run is None:
                self.report_absent(sender, key, now)
            elif run.owner == sender:
                if not run.is_stopping:
                    reason = f"{sender} has no more need of it"
                    if callers_age_s:
                        reason += (
                            "; its caller was certainly waiting "
                            f"{callers_age_s:.3f} s before"
                        )
                    self.log("stop", reason, key)
                self.stop_run(
                    run,
                    runs.RunOutcome.STOPPED,
                    now,
                    renew_until_s=renew_until_s,
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
            self.send_stop(run, now)

    def reject_queued(self, reason: str, now: core.Instant) -> None:
        """Refuse all queued runs."""
        for run in list(self.allocation.queue):
            self.end_run(run, runs.RunOutcome.NOT_STARTED, now, reason=reason)

    def send_stop(self, run: allocation.Run, now: core.Instant) -> None:
        """Call the endpoint to stop a run, for the first time or again."""
        run.stop_sent_s = now.mono_s
        run.stop_token = self.fencing_token
        self.call_stop(run.key)

    def called_endpoint(self) -> runs.EndpointRecord | None:
        """Return the endpoint that stops and reads are sent to, if any."""
        return self.endpoint

    def call_stop(self, key: runs.RunKey) -> None:
        """Call the endpoint to stop a run."""
        called = self.called_endpoint()
        if called is not None:
            self.actions.append(
                actions.CallStop(
                    endpoint=called,
                    fencing_token=self.fencing_token,
                    key=key,
                )
            )

    def retry_stops(self, now: core.Instant) -> None:
        """Retry unanswered stops."""
        for run in self.allocation.runs.values():
            waited_s = now.mono_s - run.stop_sent_s
            if not run.is_stopping or run.stop_answered_s:
                continue
            if waited_s >= STOP_RETRY_S:
                self.send_stop(run, now)

    def stop_unknown(self, key: runs.RunKey, now: core.Instant) -> None:
        """Stop a run that this process did not start or has given up."""
        sent_s = self.unknown_stop_sent_s.get(key, -UNKNOWN_STOP_RETRY_S)
        if now.mono_s - sent_s < UNKNOWN_STOP_RETRY_S:
            return
        self.unknown_stop_sent_s[key] = now.mono_s
        self.log(
            "stop_unknown",
            "the endpoint runs it, but this agent has no record of it",
            key,
        )
        self.call_stop(key)
