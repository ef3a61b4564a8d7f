"""Coordinator: accepts, runs and answers submissions of the shards it owns."""

import collections.abc
import dataclasses
import random
import typing

import result

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import members
from _jasminewind import metrics
from _jasminewind.decisions import admission
from _jasminewind.decisions import core
from _jasminewind.decisions import dispatcher
from _jasminewind.decisions import id_checks
from _jasminewind.decisions import submission_store
from _jasminewind.messages import configuration as config_messages
from _jasminewind.messages import ownership as ownership_messages
from _jasminewind.messages import tasks
from _jasminewind.messages import work

# A submission is held for this long when its id is ahead of the interval or
# its configuration is newer than the local one.
PENDING_TIMEOUT_S = 2.0
# A process that gets its first shard asks an entry to confirm its
# configuration, and repeats the request within 1.5 s if the reply is lost.
CONFIG_CONFIRMATION_TIMEOUT_S = 1.5
# Promises can be lost, so an extension of the interval is requested again.
INTERVAL_RETRY_S = 0.5
# Submissions held at once for an interval or a configuration.
MAX_PENDING = 2_000
EXPIRE_PERIOD_S = 10.0


class Ownership(typing.Protocol):
    """Interface of :mod:`ownership` that the coordinator uses."""

    def check_id(self, work_id: str, now: core.Instant) -> id_checks.IdCheck:
        """Return how an id relates to the intervals of this process."""

    def extend_for(self, work_id: str, now: core.Instant) -> core.Actions:
        """Request an interval that includes an id ahead of it."""

    def owned(self) -> tuple[int, ...]:
        """Return the shards that this process owns."""

    def raise_floor(self, shard: int, floor_ms: int) -> None:
        """Accept no more ids at or below ``floor_ms``."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CoordinatorStatus:
    """Counts of submissions and tasks at one moment."""

    submissions: int
    pending: int
    tasks_waiting: int
    tasks_outstanding: int
    records: int
    retries_spent: int


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingSubmission:
    """A submission held until its interval or configuration arrives."""

    submit: work.Submit
    requesters: list[members.NodeId]
    since_s: float
    last_request_s: float
    is_ahead: bool


class Coordinator(core.StateMachine):
    """Accepts each submission once, runs it and sends one complete answer."""

    def __init__(
        self,
        *,
        member: members.Member,
        ownership: Ownership,
        rng: random.Random,
        freshness: core.Freshness | None = None,
        meter: metrics.Meter = metrics.NO_METER,
    ) -> None:
        self.member = member
        self.ownership = ownership
        self.freshness = freshness
        self.config = configuration.NO_CONFIGURATION
        self.store = submission_store.SubmissionStore()
        self.admission = admission.Admission()
        self.meter = meter
        self.dispatcher = dispatcher.Dispatcher(rng=rng, meter=meter)
        self.pending: dict[str, PendingSubmission] = {}
        # Since when the configuration has been unconfirmed while shards were
        # owned; ``None`` while it is confirmed or no shard is owned.
        self.unconfirmed_since_s: float | None = None
        self.addresses: dict[members.NodeId, members.Address] = {}
        self.next_expire_s = 0.0
        self.is_closed = False
        self.handlers: dict[
            type,
            collections.abc.Callable[
                [members.NodeId, typing.Any, core.Instant], core.Actions
            ],
        ] = {
            work.Submit: self.on_submit,
            work.Cancel: self.on_cancel,
            work.QueryWork: self.on_query,
            tasks.TasksRefused: self.on_refused,
            tasks.TaskResults: self.on_results,
            tasks.TaskStatuses: self.on_statuses,
            tasks.LoadReport: self.on_load,
            ownership_messages.HandOver: self.on_hand_over,
        }

    def handles(self) -> collections.abc.Iterable[type]:
        """Return the message types that :meth:`on_message` takes."""
        return self.handlers.keys()

    def has_work(self) -> bool:
        """Tell whether any submission is unanswered."""
        return bool(self.dispatcher.runs or self.pending)

    def close(self) -> tuple[work.Answer, ...]:
        """Accept no further id; return the answers to hand over.

        Call this when :meth:`has_work` is false. A new id is answered "may
        have run" from now on, because the process may exit before the work
        would finish.
        """
        self.is_closed = True
        return self.store.answers()

    def status(self) -> CoordinatorStatus:
        """Return counts for metrics and operators."""
        pools = self.dispatcher.pools.values()
        return CoordinatorStatus(
            submissions=len(self.dispatcher.runs),
            pending=len(self.pending),
            tasks_waiting=sum(pool.queued_count() for pool in pools),
            tasks_outstanding=len(self.dispatcher.attempts),
            records=len(self.store.records),
            retries_spent=self.dispatcher.retry_budget.spent,
        )

    # Events

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle one message of a type in :meth:`handles`."""
        handler = self.handlers[type(message)]
        actions = handler(sender, message, now)
        return self.flush(actions, now)

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Retry pending submissions and run the checks that are due."""
        if not self.ownership.owned():
            self.unconfirmed_since_s = None
        actions = self.retry_pending(now)
        self.dispatcher.on_tick(now)
        if now.mono_s >= self.next_expire_s:
            self.next_expire_s = now.mono_s + EXPIRE_PERIOD_S
            self.store.expire(
                now,
                raise_floor=self.ownership.raise_floor,
                is_accepted=lambda each: self.accepts(each, now),
            )
        return self.flush(actions, now)

    def on_config(
        self, config: configuration.Configuration, now: core.Instant
    ) -> core.Actions:
        """Apply a configuration unless it is older than the current one."""
        if config.version < self.config.version:
            return []
        self.config = config
        self.admission.configure(config)
        self.dispatcher.configure(config, now)
        return self.flush(self.retry_pending(now), now)

    def on_members(
        self, view: tuple[members.Member, ...], now: core.Instant
    ) -> core.Actions:
        """Handle a changed view of the live members of the cell."""
        self.addresses = {each.node: each.address for each in view}
        self.dispatcher.set_members(view, now)
        return self.flush([], now)

    def on_link_lost(
        self, peer: members.NodeId, now: core.Instant
    ) -> core.Actions:
        """Query the starts whose results may be lost."""
        self.dispatcher.on_link_lost(peer, now)
        return self.flush([], now)

    def on_send_failed(
        self, peer: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle a message that certainly was not written to a link."""
        del peer
        if isinstance(message, tasks.StartTasks):
            self.dispatcher.on_starts_not_sent(message, now)
        elif isinstance(message, tasks.QueryTasks):
            self.dispatcher.on_query_not_sent(message, now)
        return self.flush([], now)

    def flush(self, actions: core.Actions, now: core.Instant) -> core.Actions:
        """Add starts, stops, queries and ready answers to ``actions``."""
        actions.extend(self.dispatcher.flush(now))
        for run in self.dispatcher.take_ended():
            self.admission.release(run)
        for answer in self.dispatcher.take_answers():
            actions.extend(self.send_answer(answer, now))
        return actions

    def send_answer(
        self, answer: work.Answer, now: core.Instant
    ) -> core.Actions:
        """Store an answer and send it to its requesters."""
        requesters = self.store.finish(answer, now)
        return [self.reply(each, answer) for each in requesters]

    def reply(self, to: members.NodeId, message: object) -> core.Action:
        """Return the action that sends ``message`` to a requester."""
        # Entries are not members of the cell and have no known address; the
        # answer goes out on the link on which their message arrived.
        address = self.addresses.get(to, members.NO_ADDRESS)
        return core.Send(to=to, address=address, message=message)

    # Submissions

    def on_submit(
        self, sender: members.NodeId, submit: work.Submit, now: core.Instant
    ) -> core.Actions:
        """Accept a submission, join it to its record, hold or redirect it."""
        if self.store.find(submit.work_id) is not None:
            return self.join_record(submit, sender)
        pending = self.pending.get(submit.work_id)
        if pending is not None:
            if sender not in pending.requesters:
                pending.requesters.append(sender)
            if pending.submit.join_only:
                pending.submit = submit
            return []
        return self.route_submission(submit, [sender], now)

    def join_record(
        self, submit: work.Submit, sender: members.NodeId
    ) -> core.Actions:
        """Join a recorded id; answer it now if it has finished."""
        # The shard is ignored for an id that has a record.
        joined = self.store.accept(submit, shard=0, sender=sender).unwrap()
        answer = joined.record.answer
        return [] if answer is None else [self.reply(sender, answer)]

    def route_submission(
        self,
        submit: work.Submit,
        requesters: list[members.NodeId],
        now: core.Instant,
    ) -> core.Actions:
        """Accept, hold, redirect or refuse a submission by its ownership."""
        check = self.ownership.check_id(submit.work_id, now)
        kind = check.kind
        is_own = kind in (
            id_checks.IdCheckKind.ACCEPT,
            id_checks.IdCheckKind.AHEAD,
        )
        if is_own and self.is_closed:
            reason = "the owner of this id is shutting down"
            return self.answer_may_have_run(submit.work_id, requesters, reason)
        if kind == id_checks.IdCheckKind.ACCEPT and submit.join_only:
            error = unavailable_error(
                "nothing with this id has arrived before"
            )
            return self.refuse_new(
                submit.work_id,
                error,
                requesters,
                shard=check.shard,
                now=now,
            )
        if kind == id_checks.IdCheckKind.ACCEPT:
            return self.accept(submit, requesters, check.shard, now)
        if kind == id_checks.IdCheckKind.AHEAD:
            actions = self.ownership.extend_for(submit.work_id, now)
            return actions + self.hold(submit, requesters, now, is_ahead=True)
        interval = check.interval
        if (
            submit.join_only
            and kind == id_checks.IdCheckKind.EARLIER
            and interval is not None
            and interval.owner not in self.addresses
        ):
            # The entry asks here because the earlier owner has left. Its
            # record of this id, if there was one, was not handed over to
            # this process; the entry asks the next one.
            redirect = work.Redirect(
                work_id=submit.work_id, owner=None, address=None
            )
            return [self.reply(each, redirect) for each in requesters]
        if interval is not None and interval.owner != self.member.node:
            redirect = work.Redirect(
                work_id=submit.work_id,
                owner=interval.owner,
                address=interval.address,
            )
            return [self.reply(each, redirect) for each in requesters]
        if kind == id_checks.IdCheckKind.EARLIER:
            reason = (
                "the id belongs to an earlier interval whose records are "
                f"lost; {admission.NEW_ID_ADVICE} if that is safe"
            )
            return self.answer_may_have_run(submit.work_id, requesters, reason)
        redirect = work.Redirect(
            work_id=submit.work_id, owner=None, address=None
        )
        return [self.reply(each, redirect) for each in requesters]

    def accept(
        self,
        submit: work.Submit,
        requesters: list[members.NodeId],
        shard: int,
        now: core.Instant,
    ) -> core.Actions:
        """Admit or refuse a submission whose id is in an own interval."""
        if submit.config_version > self.config.version:
            fetch = config_messages.ConfigFetch(
                have_version=self.config.version
            )
            actions = self.hold(submit, requesters, now, is_ahead=False)
            return [self.reply(requesters[0], fetch), *actions]
        if self.awaits_config_confirmation(now):
            return self.hold(submit, requesters, now, is_ahead=False)
        for each in requesters:
            accepted = self.store.accept(submit, shard=shard, sender=each)
            if isinstance(accepted, result.Err):
                return self.refuse_unrecorded(
                    submit.work_id,
                    accepted.err_value,
                    requesters,
                    shard=shard,
                    now=now,
                )
        error = self.readiness_error(submit, now)
        if error is not None:
            return self.refuse(submit.work_id, error, now)
        run = self.dispatcher.create_run(submit, now)
        owned = len(self.ownership.owned())
        share = owned / max(self.config.shard_count, 1)
        error = self.admission.check(
            run,
            quota_share=min(max(share, 0.0), 1.0) or 1.0,
            queued=run.pool.queued_count(),
            now=now,
        )
        if error is not None:
            return self.refuse(submit.work_id, error, now)
        self.admission.admit(run)
        self.dispatcher.enqueue(run, now)
        return []

    def refuse_unrecorded(
        self,
        work_id: str,
        store_error: submission_store.StoreError,
        requesters: list[members.NodeId],
        *,
        shard: int,
        now: core.Instant,
    ) -> core.Actions:
        """Refuse a submission that the store does not accept."""
        if store_error.refusal is submission_store.Refusal.FORGOTTEN:
            return self.answer_may_have_run(
                work_id, requesters, store_error.reason
            )
        error = errors.WorkError(
            code=errors.Code.RESOURCE_EXHAUSTED,
            outcome=errors.Outcome.NOT_RUN,
            reason=store_error.reason,
        )
        return self.refuse_new(
            work_id, error, requesters, shard=shard, now=now
        )

    def refuse_new(
        self,
        work_id: str,
        error: errors.WorkError,
        requesters: list[members.NodeId],
        *,
        shard: int,
        now: core.Instant,
    ) -> core.Actions:
        """Refuse an id without a record and record the refusal."""
        if not self.store.refuse(work_id, error, shard=shard, now=now):
            reason = (
                "the limit of recorded refusals is reached; try again later"
            )
            return self.answer_may_have_run(work_id, requesters, reason)
        answer = work.Answer(
            work_id=work_id, state=work.WorkState.FAILED, error=error
        )
        self.meter.add(metrics.REFUSALS, reason=error.code.value)
        actions: core.Actions = [refusal_decision(work_id, error)]
        actions.extend(self.reply(each, answer) for each in requesters)
        return actions

    def awaits_config_confirmation(self, now: core.Instant) -> bool:
        """Tell whether the configuration may still be confirmed in time."""
        if self.freshness is None or self.freshness.is_fresh(now):
            self.unconfirmed_since_s = None
            return False
        if self.unconfirmed_since_s is None:
            self.unconfirmed_since_s = now.mono_s
        return (
            now.mono_s - self.unconfirmed_since_s
            < CONFIG_CONFIRMATION_TIMEOUT_S
        )

    def readiness_error(
        self, submit: work.Submit, now: core.Instant
    ) -> errors.WorkError | None:
        """Return why no submission can be accepted now, if so."""
        if not submit.tasks:
            return admission.failed_precondition("the submission has no tasks")
        if self.config.version == 0:
            return unavailable_error("no configuration is known here yet")
        if self.freshness is not None and not self.freshness.is_fresh(now):
            return unavailable_error(
                "no entry has confirmed the configuration"
            )
        return None

    def refuse(
        self, work_id: str, error: errors.WorkError, now: core.Instant
    ) -> core.Actions:
        """Refuse a recorded submission of which nothing was queued.

        The refusal is stored as the answer of the id, so that a copy of the
        submission that arrives later does not run either.
        """
        answer = work.Answer(
            work_id=work_id, state=work.WorkState.FAILED, error=error
        )
        self.meter.add(metrics.REFUSALS, reason=error.code.value)
        return [
            refusal_decision(work_id, error),
            *self.send_answer(answer, now),
        ]

    def answer_may_have_run(
        self,
        work_id: str,
        requesters: list[members.NodeId],
        reason: str,
    ) -> core.Actions:
        """Answer that an id may have run, as its outcome is unknown here."""
        error = errors.WorkError(
            code=errors.Code.UNAVAILABLE,
            outcome=errors.Outcome.MAY_HAVE_RUN,
            reason=reason,
        )
        answer = work.Answer(
            work_id=work_id, state=work.WorkState.FAILED, error=error
        )
        decision = core.LogDecision(
            kind="may_have_run",
            work_id=work_id,
            candidates=tuple(str(each) for each in requesters),
            choice=str(error.code),
            reason=reason,
        )
        return [decision, *(self.reply(each, answer) for each in requesters)]

    def hold(
        self,
        submit: work.Submit,
        requesters: list[members.NodeId],
        now: core.Instant,
        *,
        is_ahead: bool,
    ) -> core.Actions:
        """Hold a submission until its interval or configuration arrives."""
        if len(self.pending) >= MAX_PENDING:
            reason = (
                "the limit of pending submissions is reached; try again later"
            )
            return self.answer_may_have_run(submit.work_id, requesters, reason)
        self.pending[submit.work_id] = PendingSubmission(
            submit=submit,
            requesters=requesters,
            since_s=now.mono_s,
            last_request_s=now.mono_s,
            is_ahead=is_ahead,
        )
        return []

    def retry_pending(self, now: core.Instant) -> core.Actions:
        """Route pending submissions again, or answer those that timed out."""
        actions: core.Actions = []
        for work_id, pending in list(self.pending.items()):
            if now.mono_s - pending.since_s >= PENDING_TIMEOUT_S:
                del self.pending[work_id]
                reason = "the owner did not extend its interval in time"
                if not pending.is_ahead:
                    reason = "the configuration was not fetched in time"
                actions.extend(
                    self.answer_may_have_run(
                        work_id, pending.requesters, reason
                    )
                )
            elif self.is_ready(pending, now):
                del self.pending[work_id]
                submit = self.deduct_wait(pending, now)
                actions.extend(
                    self.route_submission(submit, pending.requesters, now)
                )
            elif pending.is_ahead and (
                now.mono_s - pending.last_request_s >= INTERVAL_RETRY_S
            ):
                pending.last_request_s = now.mono_s
                actions.extend(self.ownership.extend_for(work_id, now))
        return actions

    def is_ready(self, pending: PendingSubmission, now: core.Instant) -> bool:
        """Tell whether a pending submission can be routed now."""
        if pending.submit.config_version > self.config.version:
            return False
        if self.awaits_config_confirmation(now):
            return False
        check = self.ownership.check_id(pending.submit.work_id, now)
        return check.kind != id_checks.IdCheckKind.AHEAD

    def deduct_wait(
        self, pending: PendingSubmission, now: core.Instant
    ) -> work.Submit:
        """Return the submission with its budget reduced by the wait."""
        waited_s = now.mono_s - pending.since_s
        left_s = max(pending.submit.budget_s - waited_s, 0.0)
        return dataclasses.replace(pending.submit, budget_s=left_s)

    def accepts(self, work_id: str, now: core.Instant) -> bool:
        """Tell whether an id is or may soon be in an own interval."""
        check = self.ownership.check_id(work_id, now)
        return check.kind in (
            id_checks.IdCheckKind.ACCEPT,
            id_checks.IdCheckKind.AHEAD,
        )

    def on_cancel(
        self, sender: members.NodeId, message: work.Cancel, now: core.Instant
    ) -> core.Actions:
        """Cancel a submission; its requesters get the answer."""
        del sender
        pending = self.pending.pop(message.work_id, None)
        if pending is None:
            self.dispatcher.cancel(message.work_id, now)
            return []
        error = errors.WorkError(
            code=errors.Code.CANCELED,
            outcome=errors.Outcome.NOT_RUN,
            reason="cancelled by the caller",
        )
        return self.refuse_new(
            message.work_id,
            error,
            pending.requesters,
            shard=self.ownership.check_id(message.work_id, now).shard,
            now=now,
        )

    def on_query(
        self,
        sender: members.NodeId,
        message: work.QueryWork,
        now: core.Instant,
    ) -> core.Actions:
        """Reply with the state of a submission."""
        record = self.store.find(message.work_id)
        run = self.dispatcher.runs.get(message.work_id)
        state = work.WorkState.UNKNOWN
        total = 0
        done = 0
        answer = None
        if record is not None and record.is_finished():
            answer = record.answer
            assert answer is not None
            state = answer.state
            total = done = len(answer.outputs)
        elif run is not None:
            total = len(run.tasks)
            done = run.done_count
            has_started = done > 0 or any(
                task.live_attempts for task in run.tasks
            )
            state = work.WorkState.QUEUED
            if has_started:
                state = work.WorkState.RUNNING
        elif message.work_id in self.pending:
            state = work.WorkState.QUEUED
            total = len(self.pending[message.work_id].submit.tasks)
        may_have_run = False
        actions: core.Actions = []
        if state is work.WorkState.UNKNOWN:
            check = self.ownership.check_id(message.work_id, now)
            # Only this process can have accepted an id in its interval.
            may_have_run = check.kind is not id_checks.IdCheckKind.ACCEPT
            if message.refuse_unknown and not may_have_run:
                error = unavailable_error("an entry has refused this id")
                may_have_run = not self.store.refuse(
                    message.work_id, error, shard=check.shard, now=now
                )
                actions = [refusal_decision(message.work_id, error)]
        status = work.WorkStatus(
            work_id=message.work_id,
            query_id=message.query_id,
            state=state,
            tasks_total=total,
            tasks_done=done,
            answer=answer,
            may_have_run=may_have_run,
        )
        return [*actions, self.reply(sender, status)]

    # Messages from executors

    def on_refused(
        self,
        sender: members.NodeId,
        message: tasks.TasksRefused,
        now: core.Instant,
    ) -> core.Actions:
        """Handle starts that an executor refused."""
        self.dispatcher.on_refused(sender, message, now)
        return []

    def on_results(
        self,
        sender: members.NodeId,
        message: tasks.TaskResults,
        now: core.Instant,
    ) -> core.Actions:
        """Apply results and acknowledge all of them, also unknown ones."""
        self.dispatcher.on_results(message, now)
        keys = tuple(each.key for each in message.results)
        return [self.reply(sender, tasks.ResultsAck(keys=keys))]

    def on_statuses(
        self,
        sender: members.NodeId,
        message: tasks.TaskStatuses,
        now: core.Instant,
    ) -> core.Actions:
        """Handle the status of starts that were queried."""
        keys = self.dispatcher.on_statuses(message, now)
        if not keys:
            return []
        return [self.reply(sender, tasks.ResultsAck(keys=tuple(keys)))]

    def on_load(
        self,
        sender: members.NodeId,
        message: tasks.LoadReport,
        now: core.Instant,
    ) -> core.Actions:
        """Handle a load report of an executor."""
        del sender
        self.dispatcher.on_load(message, now)
        return []

    # Hand-over

    def on_hand_over(
        self,
        sender: members.NodeId,
        message: ownership_messages.HandOver,
        now: core.Instant,
    ) -> core.Actions:
        """Store the finished records of a leaving owner."""
        return [self.reply(sender, self.store.receive(message, now))]


def refusal_decision(
    work_id: str, error: errors.WorkError
) -> core.LogDecision:
    """Return the decision log line of a refusal."""
    return core.LogDecision(
        kind="refusal",
        work_id=work_id,
        choice=str(error.code),
        reason=error.reason,
    )


def unavailable_error(reason: str) -> errors.WorkError:
    """Return the error for work that this process cannot accept yet."""
    return errors.WorkError(
        code=errors.Code.UNAVAILABLE,
        outcome=errors.Outcome.NOT_RUN,
        reason=f"{reason}; {admission.NEW_ID_ADVICE} later",
    )
