"""Forwards submissions from an entry to the owners of their shards."""

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
MAX_QUERIES = 5_000
MAX_REDIRECTS = 4
MAX_REPLACEMENTS = 3
# A shard is taken over about 5 s after its owner died, and the entries are
# told within another second; 15 s leaves time for a slow table.
OWNER_SEARCH_TIMEOUT_S = 15.0
RESEND_INTERVAL_S = 0.5
# A copy without a failure or redirect for this long counts as delivered.
ASSUME_DELIVERED_S = 2.0
QUERY_TIMEOUT_S = 5.0
# An entry reads the table every second and asks the other entries every 0.9 s
# when a read is late, so a lost question is repeated within this time.
CONFIG_CONFIRMATION_TIMEOUT_S = 1.5
NEW_ID_DRAWS = 8
MAX_CLOCK_SKEW_MS = 60_000


@dataclasses.dataclass(kw_only=True)
class PendingSubmission:
    """A submission without an answer. Times are monotonic seconds.

    ``sent_to`` counts the copies, per incarnation, that may have been written
    to its link. ``target`` is the incarnation that is being asked now, if any;
    ``must_resend`` is set when it may not have received its copy.
    ``unreachable_since_s`` is when the owner could no longer be asked.
    ``asks_later_owner`` is set when the owner of the id is gone and the later
    owners are asked for the record that was handed over; ``without_record``
    are those that don't have it. ``refusal`` is why this entry does not take
    the work: the owner is then only asked whether it knows the id, and its
    answer decides. ``is_held`` is set while the entry waits for a confirmation
    of its configuration; ``refusal`` then applies if none arrives.
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
    unreachable_since_s: float | None = None
    asks_later_owner: bool = False
    refusal: errors.WorkError | None = None
    is_held: bool = False
    without_record: set[members.NodeId] = dataclasses.field(
        default_factory=set
    )

    def note_sent(self, node: members.NodeId) -> None:
        """Count a copy that may reach ``node``."""
        self.sent_to[node] = self.sent_to.get(node, 0) + 1

    def note_unsent(self, node: members.NodeId) -> None:
        """Uncount a copy that was certainly not written."""
        count = self.sent_to.get(node, 0) - 1
        if count > 0:
            self.sent_to[node] = count
        else:
            self.sent_to.pop(node, None)

    def note_delivered(self, now_s: float) -> None:
        """End the search for the owner once a copy was delivered."""
        if not self.must_resend and now_s - self.sent_s >= ASSUME_DELIVERED_S:
            self.unreachable_since_s = None

    def never_ran(self) -> bool:
        """Return whether no other process can know the id."""
        return self.entry_made and not self.sent_to


@dataclasses.dataclass(frozen=True, kw_only=True)
class Query:
    """A status or explain request without a reply."""

    ticket: int
    work_id: str
    expires_s: float
    explain: bool


class Relay(core.StateMachine):
    """Forwards submissions and delivers one complete answer per caller."""

    def __init__(
        self,
        *,
        member: members.Member,
        directory: directories.Directory,
        rng: random.Random,
        freshness: core.Freshness | None = None,
        max_pending: int = MAX_PENDING,
    ) -> None:
        self.member = member
        self.directory = directory
        self.rng = rng
        self.max_pending = max_pending
        self.config = configuration.NO_CONFIGURATION
        self.quotas = quotas.EntryQuotas()
        self.freshness = freshness
        # Since when the configuration has been unconfirmed.
        self.stale_since_s: float | None = None
        self.held: list[str] = []
        self.pending: dict[str, PendingSubmission] = {}
        self.by_ticket: dict[int, str] = {}
        # Maps the first id that this entry made to its replacement.
        self.replacement_ids: dict[str, str] = {}
        self.by_target: dict[members.NodeId, set[str]] = {}
        self.deadlines: list[tuple[float, str]] = []
        self.retries: list[tuple[float, str]] = []
        self.queries: dict[int, Query] = {}
        self.next_query_id = 1

    def handles(self) -> collections.abc.Iterable[type]:
        """Return the message types that owners send to an entry."""
        return (
            work.Answer,
            work.Redirect,
            work.WorkStatus,
            work.ExplainReply,
        )

    # State

    def in_flight(self) -> int:
        """Return the number of submissions without an answer."""
        return len(self.pending)

    def new_id(self, now: core.Instant) -> str | None:
        """Return the new id, of several, with the least loaded shard.

        ``None`` means that no shard can take new work.
        """
        best: str | None = None
        best_load = float("inf")
        for _ in range(NEW_ID_DRAWS):
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
        # A given shard is drawn once in shard_count draws on average.
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

        ``entry_made`` is set when the id comes from :meth:`new_id`. No other
        process knows such an id before it is sent, so it may be replaced.
        """
        known = self.pending.get(submit.work_id)
        if known is not None:
            known.tickets.append(ticket)
            self.by_ticket[ticket] = submit.work_id
            return []
        refusal = self._reason_never_accepted(submit, now)
        if refusal is not None:
            return self._refuse(ticket, submit, refusal)
        refusal = self._refusal(submit, now)
        is_held = (
            refusal is not None
            and self._awaits_confirmation(now)
            and self._can_ask_owner()
        )
        if is_held:
            self.held.append(submit.work_id)
        elif refusal is not None and (entry_made or not self._can_ask_owner()):
            if not entry_made:
                refusal = _as_may_have_run(refusal)
            return self._refuse(ticket, submit, refusal)
        pending = PendingSubmission(
            submit=submit,
            entry_made=entry_made,
            deadline_s=now.mono_s + submit.budget_s,
            tickets=[ticket],
            refusal=refusal,
            is_held=is_held,
        )
        self._add(pending)
        self.by_ticket[ticket] = submit.work_id
        return [] if is_held else self._try_send(pending, now)

    def cancel(self, work_id: str, now: core.Instant) -> core.Actions:
        """Forward a cancellation to each process that may have the work."""
        work_id = self.replacement_ids.get(work_id, work_id)
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
        self,
        ticket: int,
        work_id: str,
        now: core.Instant,
        *,
        refuse_unknown: bool = False,
    ) -> core.Actions:
        """Ask the owner of an id for its state.

        ``refuse_unknown`` also lets the owner refuse an id that is unknown.
        """
        message = work.QueryWork(
            work_id=work_id,
            query_id=self._new_query_id(),
            refuse_unknown=refuse_unknown,
        )
        return self._ask(ticket, message, now)

    def explain(
        self, ticket: int, work_id: str, now: core.Instant
    ) -> core.Actions:
        """Ask the owner of an id for its decisions on it."""
        message = work.ExplainRequest(
            work_id=work_id, query_id=self._new_query_id()
        )
        return self._ask(ticket, message, now)

    def forget(self, ticket: int) -> None:
        """Drop a disconnected caller; its work keeps running."""
        work_id = self.by_ticket.pop(ticket, None)
        pending = self.pending.get(work_id or "")
        if pending is not None and ticket in pending.tickets:
            pending.tickets.remove(ticket)
        for query_id, query in list(self.queries.items()):
            if query.ticket == ticket:
                del self.queries[query_id]

    # Events

    def set_entry_count(self, count: int) -> None:
        """Divide team quotas among ``count`` registered entries."""
        self.quotas.entry_count = max(1, count)

    def on_config(
        self, config: configuration.Configuration, now: core.Instant
    ) -> core.Actions:
        """Store the configuration, which contains the team quotas."""
        self.config = config
        return []

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle an answer, a redirect or a reply to a query."""
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
        """Schedule a resend of what the link may not have delivered."""
        for work_id in self.by_target.get(peer, set()):
            pending = self.pending[work_id]
            pending.note_delivered(now.mono_s)
            pending.must_resend = True
            if pending.retry_s is None:
                self._retry_at(pending, now.mono_s + self._jittered_retry_s())
        return []

    def on_send_failed(
        self, peer: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle a message that was certainly not written to a link."""
        match message:
            case work.Submit():
                return self._on_submit_unsent(peer, message, now)
            case work.QueryWork() | work.ExplainRequest():
                query = self.queries.pop(message.query_id, None)
                if query is not None:
                    return [self._unknown_reply(message.query_id, query)]
        return []

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Resend what is due and fail what passed its deadline."""
        self._retry_dead_targets(now)
        actions = self._release_held(now)
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
        for query_id, query in list(self.queries.items()):
            if now.mono_s >= query.expires_s:
                del self.queries[query_id]
                actions.append(self._unknown_reply(query_id, query))
        return actions

    # Sending

    def _try_send(
        self, pending: PendingSubmission, now: core.Instant
    ) -> core.Actions:
        """Send to the owner of the id, or retry later if there is none."""
        owner = self._owner_to_ask(pending)
        if owner is not None and self.directory.is_alive(owner.owner):
            is_waiting = pending.target == owner.owner
            if is_waiting and not pending.must_resend:
                pending.unreachable_since_s = None
                return []
        if owner is not None and self._should_send(pending, owner.owner):
            if not self._has_search_timed_out(pending, now):
                return self._send(pending, owner.owner, owner.address, now)
        if pending.never_ran():
            return self._replace(pending, now)
        if pending.unreachable_since_s is None:
            pending.unreachable_since_s = now.mono_s
        if self._has_search_timed_out(pending, now):
            return self._fail(
                pending,
                errors.Code.UNAVAILABLE,
                "the owner of this id cannot be reached; query the id later "
                "before you submit the work again",
            )
        self._retry_at(pending, now.mono_s + RESEND_INTERVAL_S)
        return []

    def _owner_to_ask(
        self, pending: PendingSubmission
    ) -> shards.Interval | None:
        """Return the interval whose owner to ask about the id."""
        work_id = pending.submit.work_id
        pending.asks_later_owner = False
        if pending.never_ran():
            return self.directory.owner_of(work_id)
        owner = self._reachable_owner(work_id, pending.without_record)
        pending.asks_later_owner = owner != self.directory.owner_of(work_id)
        return owner

    def _reachable_owner(
        self,
        work_id: str,
        without_record: collections.abc.Collection[members.NodeId] = (),
    ) -> shards.Interval | None:
        """Return the owner of an id, or a live later owner if it is gone."""
        owner = self.directory.owner_of(work_id)
        if owner is not None and self.directory.live_member(owner.owner):
            return owner
        for interval in self.directory.later_owners_of(work_id):
            if interval.owner in without_record:
                continue
            if self.directory.is_alive(interval.owner):
                return interval
        return owner

    def _should_send(
        self, pending: PendingSubmission, node: members.NodeId
    ) -> bool:
        """Return whether to send a copy to ``node`` now.

        A suspect gets no new work, but work that it may already have is
        resent to it after its link was lost.
        """
        if node == pending.target and not pending.must_resend:
            return False
        if node in pending.sent_to:
            return self.directory.live_member(node) is not None
        return self.directory.is_alive(node)

    def _has_search_timed_out(
        self, pending: PendingSubmission, now: core.Instant
    ) -> bool:
        if pending.unreachable_since_s is None:
            return False
        return (
            now.mono_s - pending.unreachable_since_s >= OWNER_SEARCH_TIMEOUT_S
        )

    def _send(
        self,
        pending: PendingSubmission,
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
            join_only=pending.asks_later_owner or pending.refusal is not None,
        )
        actions: core.Actions = [
            core.Send(to=node, address=address, message=submit)
        ]
        if submit.join_only:
            actions.append(lookup_decision(pending, node))
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
        if pending.unreachable_since_s is None:
            pending.unreachable_since_s = now.mono_s
        if pending.retry_s is None:
            self._retry_at(pending, now.mono_s + self._jittered_retry_s())
        return []

    def _replace(
        self, pending: PendingSubmission, now: core.Instant
    ) -> core.Actions:
        """Give work that was never sent a new id on another shard."""
        work_id = self.new_id(now)
        pending.replacements += 1
        if work_id is None or pending.replacements > MAX_REPLACEMENTS:
            return self._fail(
                pending,
                errors.Code.UNAVAILABLE,
                "no shard can take new work now; retry",
            )
        self._remove(pending)
        pending.first_id = pending.first_id or pending.submit.work_id
        self.replacement_ids[pending.first_id] = work_id
        pending.submit = dataclasses.replace(pending.submit, work_id=work_id)
        self._add(pending)
        for ticket in pending.tickets:
            self.by_ticket[ticket] = work_id
        return self._try_send(pending, now)

    def _retry_dead_targets(self, now: core.Instant) -> None:
        """Retry submissions whose target died."""
        for node, work_ids in self.by_target.items():
            if self.directory.is_alive(node):
                continue
            for work_id in work_ids:
                pending = self.pending[work_id]
                if pending.retry_s is None:
                    pending.note_delivered(now.mono_s)
                    self._retry_at(pending, now.mono_s)

    # Waiting for a confirmed configuration

    def _awaits_confirmation(self, now: core.Instant) -> bool:
        """Return whether the configuration may still be confirmed in time."""
        is_fresh = self.freshness is None or self.freshness.is_fresh(now)
        if is_fresh or self.config.version == 0:
            self.stale_since_s = None
            return False
        if self.stale_since_s is None:
            self.stale_since_s = now.mono_s
        waited_s = now.mono_s - self.stale_since_s
        return waited_s < CONFIG_CONFIRMATION_TIMEOUT_S

    def _release_held(self, now: core.Instant) -> core.Actions:
        """Forward or refuse what was held, unless it has to wait longer."""
        if self._awaits_confirmation(now):
            return []
        held, self.held = self.held, []
        actions: core.Actions = []
        for work_id in held:
            pending = self.pending.get(work_id)
            if pending is not None and pending.is_held:
                actions += self._admit_held(pending, now)
        return actions

    def _admit_held(
        self, pending: PendingSubmission, now: core.Instant
    ) -> core.Actions:
        pending.is_held = False
        pending.refusal = self._refusal(pending.submit, now, is_counted=True)
        if pending.refusal is not None and pending.entry_made:
            return self._fail(
                pending, pending.refusal.code, pending.refusal.reason
            )
        return self._try_send(pending, now)

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
            # The owner has confirmed that the id did not run.
            answer = dataclasses.replace(answer, error=pending.refusal)
            refusal = failure_decision(answer.work_id, pending.refusal)
            return [refusal, *self._finish(pending, answer)]
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
        if pending.unreachable_since_s is None:
            pending.unreachable_since_s = now.mono_s
        if pending.asks_later_owner and message.owner is None:
            return self._ask_next_later_owner(pending, sender, now)
        can_follow = (
            message.owner is not None
            and message.address is not None
            and message.owner != sender
            and pending.redirects <= MAX_REDIRECTS
        )
        if can_follow:
            assert message.owner is not None
            assert message.address is not None
            return self._send(pending, message.owner, message.address, now)
        self._retry_at(pending, now.mono_s + RESEND_INTERVAL_S)
        return []

    def _ask_next_later_owner(
        self,
        pending: PendingSubmission,
        sender: members.NodeId,
        now: core.Instant,
    ) -> core.Actions:
        """Ask another later owner after one without the record."""
        pending.without_record.add(sender)
        self._owner_to_ask(pending)
        if pending.asks_later_owner:
            return self._try_send(pending, now)
        return self._fail(
            pending,
            errors.Code.UNAVAILABLE,
            "the owner of this id is gone and its record was not handed "
            "over; submit the work with a new id if that is safe",
        )

    def _expire(self, pending: PendingSubmission) -> core.Actions:
        if pending.unreachable_since_s is not None or not pending.sent_to:
            return self._fail(
                pending,
                errors.Code.UNAVAILABLE,
                "the owner of this id could not be reached before the "
                "deadline; query the id later",
            )
        return self._fail(
            pending,
            errors.Code.DEADLINE_EXCEEDED,
            "no answer before the deadline; query the id later",
        )

    def _fail(
        self, pending: PendingSubmission, code: errors.Code, reason: str
    ) -> core.Actions:
        outcome = errors.Outcome.MAY_HAVE_RUN
        if pending.never_ran():
            outcome = errors.Outcome.NOT_RUN
        error = errors.WorkError(
            code=code,
            outcome=outcome,
            reason=reason,
            # The copies of a refused submission only asked for a record. An
            # answer with missing outputs shows that there is one.
            not_run_if_first=(
                outcome is errors.Outcome.MAY_HAVE_RUN
                and pending.refusal is not None
                and code is not errors.Code.INTERNAL
            ),
        )
        answer = work.Answer(
            work_id=pending.submit.work_id,
            state=work.WorkState.FAILED,
            error=error,
        )
        decision = failure_decision(pending.submit.work_id, error)
        return [decision, *self._finish(pending, answer)]

    def _finish(
        self, pending: PendingSubmission, answer: work.Answer
    ) -> core.Actions:
        self._remove(pending)
        if pending.refusal is None:
            tasks = len(pending.submit.tasks)
            self.quotas.release(pending.submit.team, tasks)
        if pending.first_id:
            self.replacement_ids.pop(pending.first_id, None)
            answer = dataclasses.replace(answer, replaces=pending.first_id)
        actions: core.Actions = []
        for ticket in pending.tickets:
            self.by_ticket.pop(ticket, None)
            actions.append(core.ReplyToCaller(ticket=ticket, message=answer))
        return actions

    # Refusals

    def _can_ask_owner(self) -> bool:
        """Return whether the owner can be asked before a refusal."""
        return self.config.version > 0 and len(self.pending) < self.max_pending

    def _reason_never_accepted(
        self, submit: work.Submit, now: core.Instant
    ) -> errors.WorkError | None:
        """Return an error if no owner can have accepted the id."""
        ahead_ms = ids.time_ms(submit.work_id) - now.wall_ms
        if ahead_ms <= MAX_CLOCK_SKEW_MS:
            return None
        return _not_run(
            errors.Code.INVALID_ARGUMENT,
            f"the id is {ahead_ms / 1000:g} s ahead of this entry's "
            "clock; set your clock and create a new id",
        )

    def _refusal(
        self,
        submit: work.Submit,
        now: core.Instant,
        *,
        is_counted: bool = False,
    ) -> errors.WorkError | None:
        """Return a ``NOT_RUN`` error if new work is refused.

        An id that the caller chose may have run through another entry, so its
        owner is asked before the refusal is delivered. ``is_counted`` is set
        if the submission is one of ``pending`` already.
        """
        if self.config.version == 0:
            return _not_run(
                errors.Code.UNAVAILABLE,
                "this entry has no configuration yet; use another entry",
            )
        if self.freshness is not None and not self.freshness.is_fresh(now):
            return _not_run(
                errors.Code.UNAVAILABLE,
                "this entry cannot confirm that its configuration is the "
                "newest; use another entry",
            )
        if len(self.pending) - is_counted >= self.max_pending:
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
    ) -> core.Actions:
        answer = work.Answer(
            work_id=submit.work_id,
            state=work.WorkState.FAILED,
            error=error,
        )
        return [
            failure_decision(submit.work_id, error),
            core.ReplyToCaller(ticket=ticket, message=answer),
        ]

    # Queries about work

    def _new_query_id(self) -> int:
        query_id = self.next_query_id
        self.next_query_id += 1
        return query_id

    def _ask(
        self,
        ticket: int,
        message: work.QueryWork | work.ExplainRequest,
        now: core.Instant,
    ) -> core.Actions:
        query = Query(
            ticket=ticket,
            work_id=message.work_id,
            expires_s=now.mono_s + QUERY_TIMEOUT_S,
            explain=isinstance(message, work.ExplainRequest),
        )
        owner = self._reachable_owner(message.work_id)
        if owner is None or len(self.queries) >= MAX_QUERIES:
            return [self._unknown_reply(message.query_id, query)]
        self.queries[message.query_id] = query
        return [
            core.Send(to=owner.owner, address=owner.address, message=message)
        ]

    def _on_reply(
        self, message: work.WorkStatus | work.ExplainReply, *, explain: bool
    ) -> core.Actions:
        query = self.queries.get(message.query_id)
        if query is None or query.explain is not explain:
            return []
        if query.work_id != message.work_id:
            return []
        del self.queries[message.query_id]
        return [core.ReplyToCaller(ticket=query.ticket, message=message)]

    def _unknown_reply(self, query_id: int, query: Query) -> core.Action:
        message: work.WorkStatus | work.ExplainReply
        if query.explain:
            message = work.ExplainReply(
                work_id=query.work_id, query_id=query_id, entries=()
            )
        else:
            message = work.WorkStatus(
                work_id=query.work_id,
                query_id=query_id,
                state=work.WorkState.UNKNOWN,
                may_have_run=True,
            )
        return core.ReplyToCaller(ticket=query.ticket, message=message)

    # Bookkeeping

    def _add(self, pending: PendingSubmission) -> None:
        work_id = pending.submit.work_id
        self.pending[work_id] = pending
        heapq.heappush(self.deadlines, (pending.deadline_s, work_id))

    def _remove(self, pending: PendingSubmission) -> None:
        self._set_target(pending, None)
        self.pending.pop(pending.submit.work_id, None)
        pending.retry_s = None

    def _set_target(
        self, pending: PendingSubmission, node: members.NodeId | None
    ) -> None:
        work_id = pending.submit.work_id
        previous = pending.target
        if previous == node:
            return
        if previous is not None:
            work_ids = self.by_target[previous]
            work_ids.discard(work_id)
            if not work_ids:
                del self.by_target[previous]
            self.directory.adjust_outstanding(previous, -1)
        if node is not None:
            self.by_target.setdefault(node, set()).add(work_id)
            self.directory.adjust_outstanding(node, 1)
        pending.target = node

    def _retry_at(self, pending: PendingSubmission, when_s: float) -> None:
        pending.retry_s = when_s
        heapq.heappush(self.retries, (when_s, pending.submit.work_id))

    def _jittered_retry_s(self) -> float:
        return RESEND_INTERVAL_S * (0.5 + 0.5 * self.rng.random())

    def _address(self, node: members.NodeId) -> members.Address:
        member = self.directory.live_member(node)
        return member.address if member else members.NO_ADDRESS


def failure_decision(
    work_id: str, error: errors.WorkError
) -> core.LogDecision:
    """Return the decision log line of a refusal or an unknown outcome."""
    is_refusal = error.outcome is errors.Outcome.NOT_RUN
    return core.LogDecision(
        kind="refusal" if is_refusal else "may_have_run",
        work_id=work_id,
        choice=str(error.code),
        reason=error.reason,
    )


def lookup_decision(
    pending: PendingSubmission, node: members.NodeId
) -> core.LogDecision:
    """Return the decision log line of asking for a record only."""
    reason = "the owner of the id is gone; a later owner may have its record"
    if pending.refusal is not None:
        reason = f"before a refusal: {pending.refusal.reason}"
    return core.LogDecision(
        kind="lookup",
        work_id=pending.submit.work_id,
        choice=str(node),
        reason=reason,
    )


def _is_not_run(answer: work.Answer) -> bool:
    error = answer.error
    return error is not None and error.outcome is errors.Outcome.NOT_RUN


def _as_may_have_run(refusal: errors.WorkError) -> errors.WorkError:
    """Return the refusal of an id whose owner cannot be asked."""
    return dataclasses.replace(
        refusal,
        outcome=errors.Outcome.MAY_HAVE_RUN,
        reason=(
            f"{refusal.reason}; an earlier submission with this id cannot "
            "be ruled out"
        ),
        not_run_if_first=True,
    )


def _not_run(code: errors.Code, reason: str) -> errors.WorkError:
    return errors.WorkError(
        code=code, outcome=errors.Outcome.NOT_RUN, reason=reason
    )
