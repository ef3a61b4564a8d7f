"""The entry that owns jobs for callers."""

import abc
import random
import typing

from twisted.internet import defer

from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import cancellation
from _jasminewind.decisions.jobs import owner
from _jasminewind.decisions.jobs import registry
from _jasminewind.decisions.jobs import specs
from _jasminewind.nodes import node
from _jasminewind.wire import links

# Beats pass every 0.2 s, so that a link is silent when none did for longer.
PROBING = links.Probing(
    connect_timeout_s=0.8,
    greeting_timeout_s=0.8,
    ping_after_s=0.5,
    ping_timeout_s=0.4,
    check_period_s=0.2,
)
# A leaving entry takes a job if this many times its estimated run time, and
# the margin for placing it, remain until the process ends. Estimates are
# off by 40%, and endpoints run at half to 1.2 times the usual speed.
SHUTDOWN_RUN_TIME_FACTOR = 2.0
SHUTDOWN_PLACEMENT_MARGIN_S = 0.5
# The balancer notices after two missed checks, one second apart, so that
# new connections arrive for this long after the process is told to leave.
BALANCER_DELAY_S = 3.0


class AnswerSink(abc.ABC):
    """Those who wait for jobs."""

    @abc.abstractmethod
    def answer(self, job: str, answer: specs.JobAnswer) -> None:
        """Answer every caller that waits for a job."""


class JobEntry(node.LinkedNode):
    """Owns the jobs that its callers submit.

    ``answer_sink`` is set before the first job arrives.
    """

    answer_sink: AnswerSink

    def __init__(
        self,
        *,
        rng: random.Random,
        placement: str,
        shutdown_limit_s: float,
        **options: typing.Any,
    ) -> None:
        """Place by ``placement``; ``options`` are the node's."""
        super().__init__(probing=PROBING, **options)
        self.config = specs.NO_CONFIGURATION
        self.owner = owner.JobOwner.from_policy(
            placement,
            rng=rng,
            now_s=self.timers.now().mono_s,
            meter=self.meter,
        )
        self.cancellation = cancellation.Cancellation(jobs=self.owner)
        self.pending_cancellations: dict[int, defer.Deferred[bool]] = {}
        self.shutdown_limit_s = shutdown_limit_s
        self.shutdown_start_s = 0.0
        self.is_stopped = False
        self.handlers[actions.AnswerJob] = self.answer
        self.handlers[actions.CancelReply] = self.on_cancel_reply
        self.add_state_machine(self.owner)
        self.add_state_machine(self.cancellation)

    def set_members(self, rows: dict[str, bytes]) -> None:
        """Take the rows of the processes of the system."""
        self.cancellation.entries = registry.entries(rows, self.member.address)

    def set_configuration(self, config: specs.JobConfiguration) -> None:
        """Put a newer configuration in force."""
        if config.version <= self.config.version:
            return
        self.log.info(
            "configuration",
            version=config.version,
            earlier=self.config.version,
            queues=len(config.queues),
        )
        self.config = config

    # What callers ask

    def configuration(self) -> specs.JobConfiguration:
        """Return the configuration in force."""
        return self.config

    def submit(self, spec: specs.JobSpec) -> None:
        """Take a job; :class:`AnswerSink` is told its answer."""
        now = self.timers.now()
        self.perform(self.owner, self.owner.submit(spec, now))

    def on_caller_left(self, job: str) -> None:
        """Stop a job for which no caller waits any more."""
        now = self.timers.now()
        reason = "its caller closed the connection"
        self.perform(self.owner, self.owner.cancel(job, reason, now))

    def cancel(self, job: str) -> defer.Deferred[bool]:
        """Cancel a job; tell whether any entry had it."""
        now = self.timers.now()
        reply: defer.Deferred[bool] = defer.Deferred()
        ticket, asked = self.cancellation.cancel(job, now)
        self.pending_cancellations[ticket] = reply
        self.perform(self.cancellation, asked)
        return reply

    def state(self, job: str) -> specs.JobState | None:
        """Return the state of a job that is not answered yet."""
        return self.owner.state(job)

    def queued_count(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun."""
        return self.owner.waiting(queue)

    def is_leaving(self) -> bool:
        """Tell whether this process was told to end."""
        return bool(self.shutdown_start_s)

    def refusal_reason(self, critical_path_s: float) -> str:
        """Return why a job of this length is not taken, empty if it is.

        ``critical_path_s`` is its estimated run time in seconds.
        """
        if self.is_stopped:
            return "this entry has shut down"
        if not self.is_leaving():
            return ""
        passed_s = self.timers.clock.seconds() - self.shutdown_start_s
        needed_s = (
            SHUTDOWN_RUN_TIME_FACTOR * critical_path_s
            + SHUTDOWN_PLACEMENT_MARGIN_S
        )
        if passed_s + needed_s <= self.shutdown_limit_s:
            return ""
        return "this entry is shutting down"

    def unready_reason(self) -> str:
        """Return why no new connection should come, empty when ready."""
        if self.is_leaving():
            return "this entry is shutting down"
        if not self.config.version:
            return "there is no configuration yet"
        if not self.owner.has_agents(self.timers.now()):
            return "no agent is in reach"
        return ""

    # Shutdown

    def begin_shutdown(self) -> None:
        """Finish the jobs that are here."""
        self.shutdown_start_s = self.timers.clock.seconds()

    def is_idle(self) -> bool:
        """Tell whether nothing would be cut short."""
        passed_s = self.timers.clock.seconds() - self.shutdown_start_s
        return passed_s >= BALANCER_DELAY_S and self.owner.is_idle()

    def stop(self) -> None:
        """Close every link, and refuse what still arrives."""
        self.is_stopped = True
        self.stop_timers()
        self.links.stop()

    # Actions

    def answer(
        self, machine: core.StateMachine, action: actions.AnswerJob
    ) -> None:
        """Answer the callers of a job."""
        del machine
        self.answer_sink.answer(action.job, action.answer)

    def on_cancel_reply(
        self, machine: core.StateMachine, action: actions.CancelReply
    ) -> None:
        """Tell who cancelled whether the job was there."""
        del machine
        reply = self.pending_cancellations.pop(action.ticket, None)
        if reply is not None:
            reply.callback(action.known)
