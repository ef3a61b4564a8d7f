"""Lives of the endpoint that may get starts meant for an earlier one."""

import typing

from _jasminewind import metrics
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import allocation
from _jasminewind.decisions.jobs import endpoint_use
from _jasminewind.decisions.jobs import late_starts
from _jasminewind.messages import runs


class LaterLives(endpoint_use.EndpointUse):
    """Makes each life of the endpoint refuse starts that arrive late.

    A life has seen no fencing token when it begins. It refuses a start once a
    call with a higher token has reached it.
    """

    def __init__(self, *, started_s: float, **options: typing.Any) -> None:
        """Create the state of an agent process that began at ``started_s``.

        Starts of the process before it may be on their way.
        """
        super().__init__(started_s=started_s, **options)
        self.late_starts = late_starts.LateStarts()
        self.late_starts.record(started_s)

    def called_endpoint(self) -> runs.EndpointRecord | None:
        """Return the endpoint in use, or else the last one.

        A later life at its address has the same name.
        """
        return self.endpoint or self.dropped

    def read_state(self) -> None:
        """Read the state at once, even while a renewal is pending."""
        called = self.called_endpoint()
        if called is not None:
            self.actions.append(
                actions.CallRenew(
                    endpoint=called,
                    fencing_token=self.fencing_token,
                    deadline_ms=0,
                    last_end=self.last_end,
                    wait_s=0.0,
                    is_out_of_band=True,
                    attachment=self.attachment,
                )
            )

    def call_later_lives(self, now: core.Instant) -> None:
        """Call an endpoint that may begin a life while a start may arrive."""
        is_answering = self.endpoint is not None and not self.failed_renewals
        if not is_answering and self.late_starts.may_arrive(now.mono_s):
            self.read_state()

    def on_reply_without_endpoint(
        self,
        call: actions.CallRenew,
        reply: actions.RenewReply,
        now: core.Instant,
    ) -> None:
        """Handle the state of a life that this agent does not use.

        One that refuses the fencing token refuses earlier starts as well.
        """
        if reply.outcome is actions.CallOutcome.DONE:
            self.fence_life(call, reply)
            self.stop_late_runs(reply, now)

    def on_later_life(
        self,
        call: actions.CallRenew,
        reply: actions.RenewReply,
        now: core.Instant,
    ) -> None:
        """Fence a later life, and allow for calls that it may have taken.

        No start is sent after the first reply that shows it.
        """
        is_first = not self.lease.later_life_s
        if call.deadline_ms or (is_first and self.has_unsettled_start()):
            self.lease.allow_for_later_life(now.mono_s)
        self.fence_life(call, reply)
        self.stop_late_runs(reply, now)

    def has_unsettled_start(self) -> bool:
        """Tell whether a start may have reached a later life.

        A life that was read after it had answered the start has carried it
        out.
        """
        return any(
            run.state
            in (
                allocation.RunState.STARTING,
                allocation.RunState.UNCONFIRMED,
            )
            or run.started_s >= self.lease.state_sent_s
            for run in self.allocation.runs.values()
            if run.state is not allocation.RunState.QUEUED
        )

    def fence_life(
        self, call: actions.CallRenew, reply: actions.RenewReply
    ) -> None:
        """Call a life with a fencing token of its own time, once.

        Starts of an earlier process of the agent may have a higher token than
        the call that this life has replied to.
        """
        if reply.born_ms in (0, call.endpoint.born_ms, self.fenced_born_ms):
            return
        self.fenced_born_ms = reply.born_ms
        self.fencing_token = max(
            self.fencing_token + 1, reply.born_ms + reply.clock_ms
        )
        self.read_state()

    def stop_late_runs(
        self, reply: actions.RenewReply, now: core.Instant
    ) -> None:
        """Stop what a life has started before it was called.

        The runs that are known here are being stopped.
        """
        for run in reply.running:
            if run.key in self.allocation.runs:
                continue
            if run.key not in self.unknown_stop_sent_s:
                self.meter.add(metrics.STARTS_LATE)
            self.stop_unknown(run.key, now)
