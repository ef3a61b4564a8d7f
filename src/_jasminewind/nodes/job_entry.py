"""Entry process for jobs: accepts, owns, cancels and answers them."""

import abc
import random
import typing

from twisted.internet import defer

from _jasminewind import metrics
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import cancellation
from _jasminewind.decisions.jobs import intake
from _jasminewind.decisions.jobs import owner
from _jasminewind.decisions.jobs import specs
from _jasminewind.nodes import job_node

# During shutdown, an entry accepts a job only if this multiple of its
# estimated run time plus the margin for placement remains until the process
# exits. Estimates are off by 40%, and endpoints run at 0.5 to 1.2 times the
# usual speed.
SHUTDOWN_RUN_TIME_FACTOR = 2.0
SHUTDOWN_PLACEMENT_MARGIN_S = 0.5
# Requests that arrive before the configuration wait for it until this long
# after the start. The first read takes some 0.1 s.
CONFIGURATION_WAIT_S = 1.0
# The load balancer removes an entry after two failed health checks, one
# second apart, so new connections arrive for this long after shutdown begins.
BALANCER_DELAY_S = 3.0


class Submission(abc.ABC):
    """A submission that has been received and not been examined yet."""

    @abc.abstractmethod
    def examine(self) -> None:
        """Accept the submission, or refuse it for what it asks."""

    @abc.abstractmethod
    def refuse(self, reason: str) -> None:
        """Refuse the submission unexamined; its job does not run."""


class AnswerSink(abc.ABC):
    """Delivers answers of jobs to the callers that wait for them."""

    @abc.abstractmethod
    def answer(self, job: str, answer: specs.JobAnswer) -> None:
        """Answer every caller that waits for a job."""


class JobEntry(job_node.JobNode):
    """Owns the jobs that callers submit to this entry.

    ``answer_sink`` must be set before the first job arrives.
    """

    answer_sink: AnswerSink

    def __init__(
        self,
        *,
        rng: random.Random,
        placement: str,
        admission: str,
        remote_slowdown: float,
        placement_wait: str,
        shutdown_limit_s: float,
        **options: typing.Any,
    ) -> None:
        """Create an entry with policies of these names."""
        super().__init__(**options)
        self.config = specs.NO_CONFIGURATION
        self.configuration_waiters: list[defer.Deferred[None]] = []
        self.is_starting = True
        self.intake: intake.Intake[Submission] = intake.Intake()
        self.is_examination_due = False
        self.timers.after(CONFIGURATION_WAIT_S, self.end_startup)
        self.owner = owner.JobOwner.from_policy(
            placement,
            rng=rng,
            now_s=self.timers.now().mono_s,
            admission_name=admission,
            meter=self.meter,
            remote_slowdown=remote_slowdown,
            placement_wait=placement_wait,
        )
        self.cancellation = cancellation.Cancellation(jobs=self.owner)
        self.pending_cancellations: dict[
            int, defer.Deferred[actions.CancelOutcome]
        ] = {}
        self.shutdown_limit_s = shutdown_limit_s
        self.shutdown_start_s = 0.0
        self.is_stopped = False
        self.handlers[actions.NextTurn] = self.observe_turn
        self.handlers[actions.AnswerJob] = self.answer
        self.handlers[actions.CancelReply] = self.on_cancel_reply
        self.add_state_machine(self.owner)
        self.add_state_machine(self.cancellation)

    def set_members(self, rows: dict[str, bytes]) -> None:
        """Update the known entries from the rows of registered processes."""
        self.update_registry(rows)
        self.cancellation.set_entries(self.registry.entries())

    def set_configuration(self, config: specs.JobConfiguration) -> None:
        """Apply a configuration if its version is newer."""
        if config.version <= self.config.version:
            return
        self.log.info(
            "configuration",
            version=config.version,
            earlier=self.config.version,
            queues=len(config.queues),
        )
        self.config = config
        self.end_startup(self.timers.now())

    def read_evacuations(self, version: int, domains: frozenset[str]) -> None:
        """Record the evacuated domains that the table lists at a version."""
        now = self.timers.now()
        self.perform(
            self.owner, self.owner.read_evacuations(version, domains, now)
        )

    def configured(self) -> defer.Deferred[None] | None:
        """Return a Deferred that fires at the end of the start.

        It is ``None`` if this entry has a configuration, or has been without
        one for so long that its callers should not wait.
        """
        if not self.is_starting:
            return None
        waiter: defer.Deferred[None] = defer.Deferred()
        self.configuration_waiters.append(waiter)
        return waiter

    def end_startup(self, now: core.Instant) -> None:
        """Let the requests continue that waited for a configuration."""
        del now
        self.is_starting = False
        waiters, self.configuration_waiters = self.configuration_waiters, []
        for waiter in waiters:
            waiter.callback(None)

    # Calls from callers

    def configuration(self) -> specs.JobConfiguration:
        """Return the configuration in force."""
        return self.config

    def receive(self, submission: Submission) -> None:
        """Queue a submission, to be examined in the next reactor turn."""
        self.intake.add(submission, self.timers.clock.seconds())
        self.schedule_examination()

    def schedule_examination(self) -> None:
        """Examine submissions in the next reactor turn."""
        if not self.is_examination_due:
            self.is_examination_due = True
            self.timers.after(0, self.examine_submissions)

    def examine_submissions(self, now: core.Instant) -> None:
        """Examine queued submissions for a short time.

        The others wait until the messages of agents have been read.
        """
        self.is_examination_due = False
        expired = self.intake.take_expired(now.mono_s)
        for submission in expired:
            self.meter.add(metrics.UNEXAMINED)
            submission.refuse(
                "more jobs arrive here than this entry can examine"
            )
        end_s = now.mono_s + intake.TURN_S
        now_s = now.mono_s
        while now_s < end_s:
            next_submission = self.intake.take(now_s)
            if next_submission is None:
                return
            next_submission.examine()
            now_s = self.timers.clock.seconds()
        if self.intake.waiting:
            self.schedule_examination()

    def submit(self, spec: specs.JobSpec) -> None:
        """Accept a job; its answer goes to ``answer_sink``."""
        now = self.timers.now()
        self.perform(self.owner, self.owner.submit(spec, now))

    def is_known(self, job: str) -> bool:
        """Tell whether a job is owned here, or was answered recently."""
        return self.owner.is_known(job)

    def may_have_run(self, job: str) -> bool:
        """Tell whether a task of a job has started here, as far as known."""
        return self.owner.may_have_run(job)

    def on_caller_left(self, job: str) -> None:
        """Cancel a job whose last caller has disconnected."""
        now = self.timers.now()
        self.perform(self.owner, self.owner.on_caller_left(job, now))

    def cancel(self, job: str) -> defer.Deferred[actions.CancelOutcome]:
        """Cancel a job, whichever entry owns it."""
        now = self.timers.now()
        reply: defer.Deferred[actions.CancelOutcome] = defer.Deferred()
        ticket, requests = self.cancellation.cancel(job, now)
        self.pending_cancellations[ticket] = reply
        self.perform(self.cancellation, requests)
        return reply

    def state(self, job: str) -> specs.JobState | None:
        """Return the state of an unanswered job, None if there is none."""
        return self.owner.state(job)

    def queued_count(self, queue: str) -> int:
        """Return how many jobs of a queue have not started."""
        return self.owner.waiting(queue)

    def is_leaving(self) -> bool:
        """Return whether shutdown has begun."""
        return bool(self.shutdown_start_s)

    def refusal_reason(self, spec: specs.JobSpec) -> str:
        """Return why a job is refused, empty if it is accepted."""
        if self.is_stopped:
            return "this entry has shut down"
        if not self.is_leaving() or self.is_known(spec.job):
            return ""
        passed_s = self.timers.clock.seconds() - self.shutdown_start_s
        needed_s = (
            SHUTDOWN_RUN_TIME_FACTOR * spec.critical_path_s
            + SHUTDOWN_PLACEMENT_MARGIN_S
        )
        if passed_s + needed_s <= self.shutdown_limit_s:
            return ""
        return "this entry is shutting down"

    def unready_reason(self) -> str:
        """Return why the readiness check fails, empty if it passes."""
        if self.is_leaving():
            return "this entry is shutting down"
        if not self.config.version:
            return "there is no configuration yet"
        if not self.owner.has_agents(self.timers.now()):
            return "no agent is reachable"
        if self.intake.is_overloaded(self.timers.clock.seconds()):
            return "more jobs arrive here than this entry can examine"
        return ""

    # Shutdown

    def begin_shutdown(self) -> None:
        """Start the shutdown; accepted jobs are finished."""
        self.shutdown_start_s = self.timers.clock.seconds()

    def is_idle(self) -> bool:
        """Return whether the process can exit without losing a job."""
        now = self.timers.now()
        passed_s = now.mono_s - self.shutdown_start_s
        is_idle = (
            not self.intake.waiting
            and self.owner.is_idle()
            and self.cancellation.is_idle(now)
        )
        return passed_s >= BALANCER_DELAY_S and is_idle

    def stop(self) -> None:
        """Close every link and refuse new jobs."""
        self.is_stopped = True
        self.stop_timers()
        self.links.stop()

    # Actions

    def observe_turn(
        self, machine: core.StateMachine, action: actions.NextTurn
    ) -> None:
        """Notify the owner of jobs when a reactor turn begins.

        The reactor runs timers that are due, waits for sockets, and handles
        all that are ready. A timer set by another one runs in a later turn.
        """
        self.timers.after(
            action.delay_s,
            lambda now: self.handle_event(
                machine, "reactor turn", lambda: self.owner.on_turn(now)
            ),
        )

    def answer(
        self, machine: core.StateMachine, action: actions.AnswerJob
    ) -> None:
        """Deliver the answer of a job to its callers."""
        del machine
        self.answer_sink.answer(action.job, action.answer)

    def on_cancel_reply(
        self, machine: core.StateMachine, action: actions.CancelReply
    ) -> None:
        """Complete a cancellation with its outcome."""
        del machine
        reply = self.pending_cancellations.pop(action.ticket, None)
        if reply is not None:
            reply.callback(action.outcome)
