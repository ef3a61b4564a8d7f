"""Submissions that an entry forwards to the owners of their shards."""

import collections.abc
import dataclasses
import heapq
import random

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import ids
from _jasminewind import members
from _jasminewind import shards
from _jasminewind.decisions import core
from _jasminewind.decisions import directory as directories
from _jasminewind.decisions import quotas
from _jasminewind.messages import work

MAX_PENDING = 20_000
MAX_QUESTIONS = 5_000
MAX_REDIRECTS = 4
MAX_REPLACEMENTS = 3
# An owner is taken over about 5 s after its death, and the entries learn
# it within another second; 15 s leaves time for a slow table.
OWNER_SEARCH_S = 15.0
RESEND_PERIOD_S = 0.5
# A copy that neither failed nor was redirected for this long has arrived.
ARRIVED_AFTER_S = 2.0
QUESTION_TIMEOUT_S = 5.0
NEW_ID_ATTEMPTS = 8
SKEW_LIMIT_MS = 60_000


@dataclasses.dataclass(kw_only=True)
class Pending:
    """One submission without an answer. Times are monotonic seconds.

    ``sent_to`` counts, for each incarnation, the copies that may have
    been written to its link. ``target`` is the one that is being asked
    now, if any; ``must_resend`` says that it may not have got its copy.
    ``lost_since_s`` is when the owner could no longer be asked.
    ``asks_heir`` says that the earlier owner of the id is gone and the
    later ones are asked for the record that was handed over; ``ignorant``
    are those that have none. ``refusal``
    is why this entry does not take the work; the owner is then asked only
    whether the id is known, and what it answers decides.
    """

    submit: work.Submit
    entry_made: bool
    deadline_s: float
    tickets: list[int]
    sent_to: dict[members.NodeId, int] = dataclasses.field(
        default_factory=dict
    )
    target: members.NodeId | None = None
    redirects: int = 0
    replacements: int = 0
    first_id: str = ""
    canceled: bool = False
    must_resend: bool = False
    sent_s: float = 0.0
    retry_s: float | None = None
    lost_since_s: float | None = None
    asks_heir: bool = False
    refusal: errors.WorkError | None = None
    ignorant: set[members.NodeId] = dataclasses.field(default_factory=set)

    def note_sent(self, node: members.NodeId) -> None:
        """Count a copy that may reach ``node``."""
        self.sent_to[node] = self.sent_to.get(node, 0) + 1

    def note_unsent(self, node: members.NodeId) -> None:
        """Take back a copy that certainly was not written."""
        count = self.sent_to.get(node, 0) - 1
        if count > 0:
            self.sent_to[node] = count
        else:
            self.sent_to.pop(node, None)

    def note_arrival(self, now_s: float) -> None:
        """Forget an earlier search for the owner once it was found."""
        if not self.must_resend and now_s - self.sent_s >= ARRIVED_AFTER_S:
            self.lost_since_s = None

    def never_ran(self) -> bool:
        """Tell whether nobody can know the id, let alone have run it."""
        return self.entry_made and not self.sent_to


@dataclasses.dataclass(frozen=True, kw_only=True)
class Question:
    """A status or explain request without a reply."""

    ticket: int
    work_id: str
    expires_s: float
    explain: bool


class Relay(core.StateMachine):
    """Forwards submissions and gives each caller one whole answer."""

    def __init__(
        self,
        *,
        member: members.Member,
        directory: directories.Directory,
        rng: random.Random,
        max_pending: int = MAX_PENDING,
    ) -> None:
        self.member = member
        self.directory = directory
        self.rng = rng
        self.max_pending = max_pending
        self.config = configuration.NO_CONFIGURATION
        self.quotas = quotas.EntryQuotas()
        self.is_fresh = True
        self.pending: dict[str, Pending] = {}
        self.by_ticket: dict[int, str] = {}
        # From the first id that this entry made to the one that replaced it.
        self.renamed: dict[str, str] = {}
        self.by_target: dict[members.NodeId, set[str]] = {}
        self.deadlines: list[tuple[float, str]] = []
        self.retries: list[tuple[float, str]] = []
        self.questions: dict[int, Question] = {}
        self.next_query_id = 1

    def handles(self) -> collections.abc.Iterable[type]:
        """Return the messages that answer what this entry sent."""
        return (
            work.Answer,
            work.Redirect,
            work.WorkStatus,
            work.ExplainReply,
        )

    # Questions

    def in_flight(self) -> int:
        """Return the number of submissions without an answer."""
        return len(self.pending)

    def new_id(self, now: core.Instant) -> str | None:
        """Return an id on the least loaded shard of a few draws.

        ``None`` means that no shard can take new work.
        """
        best: str | None = None
        best_load = float("inf")
        for _ in range(NEW_ID_ATTEMPTS):
            work_id = ids.new(wall_ms=now.wall_ms, rng=self.rng)
            load = self._load_for(work_id)
            if load is not None and load < best_load:
                best = work_id
                best_load = load
        return best or self._id_on_any_shard(now)

    def _id_on_any_shard(self, now: core.Instant) -> str | None:
        shard = self.directory.least_loaded_shard(now)
        if shard is None:
            return None
        # A shard is hit after shard_count draws on average.
        for _ in range(16 * self.config.shard_count):
            work_id = ids.new(wall_ms=now.wall_ms, rng=self.rng)
            if self._load_for(work_id) is not None:
                return work_id
        return None

    def _load_for(self, work_id: str) -> float | None:
        owner = self.directory.owner_of(work_id)
        shard = self.directory.shard_of(work_id)
        row = self.directory.rows.get(shard)
        if owner is None or row is None or owner != row.current:
            return None
        return self.directory.load_of(shard)

    # Requests of callers

    def submit(
        self,
        ticket: int,
        submit: work.Submit,
        now: core.Instant,
        *,
        entry_made: bool = False,
    ) -> core.Actions:
        """Forward a submission; its answer is delivered to ``ticket``.

        ``entry_made`` says that the id comes from :meth:`new_id` and is
        known to nobody else, so that it may still be replaced.
        """
        known = self.pending.get(submit.work_id)
        if known is not None:
            known.tickets.append(ticket)
            self.by_ticket[ticket] = submit.work_id
            return []
        refusal = self._never_accepted(submit, now)
        if refusal is not None:
            return [self._refuse(ticket, submit, refusal)]
        refusal = self._refusal(submit, now)
        if refusal is not None and (entry_made or not self._can_ask()):
            if not entry_made:
                refusal = _not_proved(refusal)
            return [self._refuse(ticket, submit, refusal)]
        pending = Pending(
            submit=submit,
            entry_made=entry_made,
            deadline_s=now.mono_s + submit.budget_s,
            tickets=[ticket],
            refusal=refusal,
        )
        self._keep(pending)
        self.by_ticket[ticket] = submit.work_id
        return self._try_send(pending, now)

    def cancel(self, work_id: str, now: core.Instant) -> core.Actions:
        """Forward a cancellation to whoever may hold the submission."""
        work_id = self.renamed.get(work_id, work_id)
        message = work.Cancel(work_id=work_id)
        pending = self.pending.get(work_id)
        if pending is None:
            owner = self.directory.owner_of(work_id)
            if owner is None:
                return []
            return [
                core.Send(
                    to=owner.owner, address=owner.address, message=message
                )
            ]
        pending.canceled = True
        if not pending.sent_to:
            return self._fail(
                pending, errors.Code.CANCELED, "canceled before it was sent"
            )
        actions: core.Actions = []
        for node in sorted(pending.sent_to):
            actions.append(
                core.Send(
                    to=node, address=self._address(node), message=message
                )
            )
        return actions

    def query(
        self, ticket: int, work_id: str, now: core.Instant
    ) -> core.Actions:
        """Ask the owner of an id for its state."""
        return self._ask(ticket, work_id, now, explain=False)

    def explain(
        self, ticket: int, work_id: str, now: core.Instant
    ) -> core.Actions:
        """Ask the owner of an id for its decisions on it."""
        return self._ask(ticket, work_id, now, explain=True)

    def forget(self, ticket: int) -> None:
        """Forget a caller that went away; its work goes on."""
        work_id = self.by_ticket.pop(ticket, None)
        pending = self.pending.get(work_id or "")
        if pending is not None and ticket in pending.tickets:
            pending.tickets.remove(ticket)
        for query_id, question in list(self.questions.items()):
            if question.ticket == ticket:
                del self.questions[query_id]

    # Events

    def set_entry_count(self, count: int) -> None:
        """Split quotas over ``count`` registered entries."""
        self.quotas.entry_count = max(1, count)

    def set_fresh(self, is_fresh: bool) -> None:
        """Take new work only while the entry's configuration is fresh."""
        self.is_fresh = is_fresh

    def on_config(
        self, config: configuration.Configuration, now: core.Instant
    ) -> core.Actions:
        """Take the quotas of the teams."""
        self.config = config
        return []

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle an answer, a redirection or a reply to a question."""
        match message:
            case work.Answer():
                return self._on_answer(sender, message)
            case work.Redirect():
                return self._on_redirect(sender, message, now)
            case work.WorkStatus():
                return self._on_reply(message, explain=False)
            case work.ExplainReply():
                return self._on_reply(message, explain=True)
        return []

    def on_link_lost(
        self, peer: members.NodeId, now: core.Instant
    ) -> core.Actions:
        """Plan to send again what the link may not have delivered."""
        for work_id in self.by_target.get(peer, set()):
            pending = self.pending[work_id]
            pending.note_arrival(now.mono_s)
            pending.must_resend = True
            if pending.retry_s is None:
                self._retry_at(pending, now.mono_s + self._pause_s())
        return []

    def on_send_failed(
        self, peer: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle a message that was certainly not written to a link."""
        match message:
            case work.Submit():
                return self._on_submit_unsent(peer, message, now)
            case work.QueryWork() | work.ExplainRequest():
                question = self.questions.pop(message.query_id, None)
                if question is not None:
                    return [self._no_reply(message.query_id, question)]
        return []

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Send again what is due and answer what has run out of time."""
        self._watch_targets(now)
        actions: core.Actions = []
        while self.retries and self.retries[0][0] <= now.mono_s:
            due_s, work_id = heapq.heappop(self.retries)
            pending = self.pending.get(work_id)
            if pending is not None and pending.retry_s == due_s:
                pending.retry_s = None
                actions += self._try_send(pending, now)
        while self.deadlines and self.deadlines[0][0] <= now.mono_s:
            due_s, work_id = heapq.heappop(self.deadlines)
            pending = self.pending.get(work_id)
            if pending is not None and pending.deadline_s == due_s:
                actions += self._expire(pending)
        for query_id, question in list(self.questions.items()):
            if now.mono_s >= question.expires_s:
                del self.questions[query_id]
                actions.append(self._no_reply(query_id, question))
        return actions

    # Sending

    def _try_send(self, pending: Pending, now: core.Instant) -> core.Actions:
        """Send to the owner of the id's interval, or wait for one."""
        owner = self._holder(pending)
        if owner is not None and self.directory.is_alive(owner.owner):
            waits = pending.target == owner.owner
            if waits and not pending.must_resend:
                pending.lost_since_s = None
                return []
        if owner is not None and self._must_ask(pending, owner.owner):
            if not self._is_given_up(pending, now):
                return self._send(pending, owner.owner, owner.address, now)
        if pending.never_ran():
            return self._replace(pending, now)
        if pending.lost_since_s is None:
            pending.lost_since_s = now.mono_s
        if self._is_given_up(pending, now):
            return self._fail(
                pending,
                errors.Code.UNAVAILABLE,
                "the owner of this id cannot be asked; query the id later "
                "before you submit the work again",
            )
        self._retry_at(pending, now.mono_s + RESEND_PERIOD_S)
        return []

    def _holder(self, pending: Pending) -> shards.Interval | None:
        """Return the interval whose owner can know the id."""
        work_id = pending.submit.work_id
        pending.asks_heir = False
        if pending.never_ran():
            return self.directory.owner_of(work_id)
        owner = self._best_informed(work_id, pending.ignorant)
        pending.asks_heir = owner != self.directory.owner_of(work_id)
        return owner

    def _best_informed(
        self,
        work_id: str,
        ignorant: collections.abc.Collection[members.NodeId] = (),
    ) -> shards.Interval | None:
        """Return the owner of an id, or an heir when the owner is gone."""
        owner = self.directory.owner_of(work_id)
        if owner is not None and self.directory.live_member(owner.owner):
            return owner
        for heir in self.directory.later_owners_of(work_id):
            if heir.owner in ignorant:
                continue
            if self.directory.is_alive(heir.owner):
                return heir
        return owner

    def _must_ask(self, pending: Pending, node: members.NodeId) -> bool:
        """Tell whether to send a copy to ``node`` now.

        A suspect gets no new work, but is asked again for work that it
        may already have when its link was lost.
        """
        if node == pending.target and not pending.must_resend:
            return False
        if node in pending.sent_to:
            return self.directory.live_member(node) is not None
        return self.directory.is_alive(node)

    def _is_given_up(self, pending: Pending, now: core.Instant) -> bool:
        if pending.lost_since_s is None:
            return False
        return now.mono_s - pending.lost_since_s >= OWNER_SEARCH_S

    def _send(
        self,
        pending: Pending,
        node: members.NodeId,
        address: members.Address,
        now: core.Instant,
    ) -> core.Actions:
        self._set_target(pending, node)
        pending.note_sent(node)
        pending.must_resend = False
        pending.sent_s = now.mono_s
        submit = dataclasses.replace(
            pending.submit,
            budget_s=max(0.0, pending.deadline_s - now.mono_s),
            config_version=self.config.version,
            join_only=pending.asks_heir or pending.refusal is not None,
        )
        actions: core.Actions = [
            core.Send(to=node, address=address, message=submit)
        ]
        if pending.canceled:
            cancel = work.Cancel(work_id=submit.work_id)
            actions.append(core.Send(to=node, address=address, message=cancel))
        return actions

    def _on_submit_unsent(
        self, peer: members.NodeId, message: work.Submit, now: core.Instant
    ) -> core.Actions:
        pending = self.pending.get(message.work_id)
        if pending is None:
            return []
        pending.note_unsent(peer)
        if pending.target != peer:
            return []
        pending.must_resend = True
        if pending.never_ran():
            return self._replace(pending, now)
        if pending.lost_since_s is None:
            pending.lost_since_s = now.mono_s
        if pending.retry_s is None:
            self._retry_at(pending, now.mono_s + self._pause_s())
        return []

    def _replace(self, pending: Pending, now: core.Instant) -> core.Actions:
        """Give work that was never sent an id on another shard."""
        work_id = self.new_id(now)
        pending.replacements += 1
        if work_id is None or pending.replacements > MAX_REPLACEMENTS:
            return self._fail(
                pending,
                errors.Code.UNAVAILABLE,
                "no shard can take new work now; retry",
            )
        self._unkeep(pending)
        pending.first_id = pending.first_id or pending.submit.work_id
        self.renamed[pending.first_id] = work_id
        pending.submit = dataclasses.replace(pending.submit, work_id=work_id)
        self._keep(pending)
        for ticket in pending.tickets:
            self.by_ticket[ticket] = work_id
        return self._try_send(pending, now)

    def _watch_targets(self, now: core.Instant) -> None:
        """Look for another owner of what is with a process that died."""
        for node, work_ids in self.by_target.items():
            if self.directory.is_alive(node):
                continue
            for work_id in work_ids:
                pending = self.pending[work_id]
                if pending.retry_s is None:
                    pending.note_arrival(now.mono_s)
                    self._retry_at(pending, now.mono_s)

    # Answers

    def _on_answer(
        self, sender: members.NodeId, answer: work.Answer
    ) -> core.Actions:
        pending = self.pending.get(answer.work_id)
        if pending is None or sender not in pending.sent_to:
            return []
        if answer.state is work.WorkState.COMPLETE:
            if len(answer.outputs) != len(pending.submit.tasks):
                return self._fail(
                    pending,
                    errors.Code.INTERNAL,
                    "the answer is not complete; report this to the "
                    "operators",
                )
        elif answer.state is not work.WorkState.FAILED:
            return []
        elif pending.refusal is not None and _is_not_run(answer):
            # The owner has proved what this entry could not know.
            answer = dataclasses.replace(answer, error=pending.refusal)
        return self._finish(pending, answer)

    def _on_redirect(
        self,
        sender: members.NodeId,
        message: work.Redirect,
        now: core.Instant,
    ) -> core.Actions:
        pending = self.pending.get(message.work_id)
        if pending is None or pending.target != sender:
            return []
        pending.redirects += 1
        pending.must_resend = True
        if pending.lost_since_s is None:
            pending.lost_since_s = now.mono_s
        if pending.asks_heir and message.owner is None:
            return self._ask_next_heir(pending, sender, now)
        followed = (
            message.owner is not None
            and message.address is not None
            and message.owner != sender
            and pending.redirects <= MAX_REDIRECTS
        )
        if followed:
            assert message.owner is not None
            assert message.address is not None
            return self._send(pending, message.owner, message.address, now)
        self._retry_at(pending, now.mono_s + RESEND_PERIOD_S)
        return []

    def _ask_next_heir(
        self, pending: Pending, sender: members.NodeId, now: core.Instant
    ) -> core.Actions:
        """Ask another later owner after one that has no record."""
        pending.ignorant.add(sender)
        self._holder(pending)
        if pending.asks_heir:
            return self._try_send(pending, now)
        return self._fail(
            pending,
            errors.Code.UNAVAILABLE,
            "the owner of this id is gone and its record was not handed "
            "over; submit the work with a new id if that is safe",
        )

    def _expire(self, pending: Pending) -> core.Actions:
        if pending.lost_since_s is not None or not pending.sent_to:
            return self._fail(
                pending,
                errors.Code.UNAVAILABLE,
                "the owner of this id could not be asked before the "
                "deadline; query the id later",
            )
        return self._fail(
            pending,
            errors.Code.DEADLINE_EXCEEDED,
            "no answer before the deadline; query the id later",
        )

    def _fail(
        self, pending: Pending, code: errors.Code, reason: str
    ) -> core.Actions:
        outcome = errors.Outcome.MAY_HAVE_RUN
        if pending.never_ran():
            outcome = errors.Outcome.NOT_RUN
        error = errors.WorkError(code=code, outcome=outcome, reason=reason)
        answer = work.Answer(
            work_id=pending.submit.work_id,
            state=work.WorkState.FAILED,
            error=error,
        )
        return self._finish(pending, answer)

    def _finish(self, pending: Pending, answer: work.Answer) -> core.Actions:
        self._unkeep(pending)
        if pending.refusal is None:
            tasks = len(pending.submit.tasks)
            self.quotas.release(pending.submit.team, tasks)
        if pending.first_id:
            self.renamed.pop(pending.first_id, None)
            answer = dataclasses.replace(answer, replaces=pending.first_id)
        actions: core.Actions = []
        for ticket in pending.tickets:
            self.by_ticket.pop(ticket, None)
            actions.append(core.ReplyToCaller(ticket=ticket, message=answer))
        return actions

    # Refusals

    def _can_ask(self) -> bool:
        """Tell whether an owner can be asked about an id."""
        return self.config.version > 0 and len(self.pending) < self.max_pending

    def _never_accepted(
        self, submit: work.Submit, now: core.Instant
    ) -> errors.WorkError | None:
        """Return why no owner can ever have accepted an id."""
        ahead_ms = ids.time_ms(submit.work_id) - now.wall_ms
        if ahead_ms <= SKEW_LIMIT_MS:
            return None
        return _not_run(
            errors.Code.INVALID_ARGUMENT,
            f"the id is {ahead_ms / 1000:g} s ahead of this entry's "
            "clock; set your clock and create a new id",
        )

    def _refusal(
        self, submit: work.Submit, now: core.Instant
    ) -> errors.WorkError | None:
        """Return why new work is not taken, as not run.

        An id of the caller may have run through another entry; its owner
        is asked before this refusal is given.
        """
        if self.config.version == 0:
            return _not_run(
                errors.Code.UNAVAILABLE,
                "this entry has no configuration yet; use another entry",
            )
        if not self.is_fresh:
            return _not_run(
                errors.Code.UNAVAILABLE,
                "this entry cannot confirm that its configuration is the "
                "newest; use another entry",
            )
        if len(self.pending) >= self.max_pending:
            return _not_run(
                errors.Code.RESOURCE_EXHAUSTED,
                f"this entry holds {self.max_pending} submissions; retry "
                "later",
            )
        team = self.config.team(submit.team)
        if team is None:
            return _not_run(
                errors.Code.FAILED_PRECONDITION,
                f"team {submit.team[:64]!r} is not configured; ask an "
                "operator to add it",
            )
        reason = self.quotas.admit(team, len(submit.tasks), now)
        if reason:
            return _not_run(errors.Code.RESOURCE_EXHAUSTED, reason)
        return None

    def _refuse(
        self, ticket: int, submit: work.Submit, error: errors.WorkError
    ) -> core.Action:
        answer = work.Answer(
            work_id=submit.work_id,
            state=work.WorkState.FAILED,
            error=error,
        )
        return core.ReplyToCaller(ticket=ticket, message=answer)

    # Questions about work

    def _ask(
        self, ticket: int, work_id: str, now: core.Instant, *, explain: bool
    ) -> core.Actions:
        query_id = self.next_query_id
        self.next_query_id += 1
        question = Question(
            ticket=ticket,
            work_id=work_id,
            expires_s=now.mono_s + QUESTION_TIMEOUT_S,
            explain=explain,
        )
        owner = self._best_informed(work_id)
        if owner is None or len(self.questions) >= MAX_QUESTIONS:
            return [self._no_reply(query_id, question)]
        self.questions[query_id] = question
        kind = work.ExplainRequest if explain else work.QueryWork
        message = kind(work_id=work_id, query_id=query_id)
        return [
            core.Send(to=owner.owner, address=owner.address, message=message)
        ]

    def _on_reply(
        self, message: work.WorkStatus | work.ExplainReply, *, explain: bool
    ) -> core.Actions:
        question = self.questions.get(message.query_id)
        if question is None or question.explain is not explain:
            return []
        if question.work_id != message.work_id:
            return []
        del self.questions[message.query_id]
        return [core.ReplyToCaller(ticket=question.ticket, message=message)]

    def _no_reply(self, query_id: int, question: Question) -> core.Action:
        message: work.WorkStatus | work.ExplainReply
        if question.explain:
            message = work.ExplainReply(
                work_id=question.work_id, query_id=query_id, entries=()
            )
        else:
            message = work.WorkStatus(
                work_id=question.work_id,
                query_id=query_id,
                state=work.WorkState.UNKNOWN,
                may_have_run=True,
            )
        return core.ReplyToCaller(ticket=question.ticket, message=message)

    # Records

    def _keep(self, pending: Pending) -> None:
        work_id = pending.submit.work_id
        self.pending[work_id] = pending
        heapq.heappush(self.deadlines, (pending.deadline_s, work_id))

    def _unkeep(self, pending: Pending) -> None:
        self._set_target(pending, None)
        self.pending.pop(pending.submit.work_id, None)
        pending.retry_s = None

    def _set_target(
        self, pending: Pending, node: members.NodeId | None
    ) -> None:
        work_id = pending.submit.work_id
        before = pending.target
        if before == node:
            return
        if before is not None:
            held = self.by_target[before]
            held.discard(work_id)
            if not held:
                del self.by_target[before]
            self.directory.adjust_outstanding(before, -1)
        if node is not None:
            self.by_target.setdefault(node, set()).add(work_id)
            self.directory.adjust_outstanding(node, 1)
        pending.target = node

    def _retry_at(self, pending: Pending, when_s: float) -> None:
        pending.retry_s = when_s
        heapq.heappush(self.retries, (when_s, pending.submit.work_id))

    def _pause_s(self) -> float:
        return RESEND_PERIOD_S * (0.5 + 0.5 * self.rng.random())

    def _address(self, node: members.NodeId) -> members.Address:
        record = self.directory.live_member(node)
        return record.address if record else members.NO_ADDRESS


def _is_not_run(answer: work.Answer) -> bool:
    error = answer.error
    return error is not None and error.outcome is errors.Outcome.NOT_RUN


def _not_proved(refusal: errors.WorkError) -> errors.WorkError:
    """Return a refusal of an id whose owner cannot be asked."""
    return dataclasses.replace(
        refusal,
        outcome=errors.Outcome.MAY_HAVE_RUN,
        reason=(
            f"{refusal.reason}; an earlier submission with this id cannot "
            "be ruled out"
        ),
    )


def _not_run(code: errors.Code, reason: str) -> errors.WorkError:
    return errors.WorkError(
        code=code, outcome=errors.Outcome.NOT_RUN, reason=reason
    )
