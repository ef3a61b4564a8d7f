"""Entry process: forwards calls of callers and operators to agents."""

import collections.abc
import dataclasses
import itertools
import math
import pathlib
import random
import typing

import result
from twisted.internet import defer

from _jasminewind import changes
from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import ids
from _jasminewind import members
from _jasminewind import metrics
from _jasminewind import settings
from _jasminewind import timers
from _jasminewind.api import backend
from _jasminewind.decisions import core
from _jasminewind.decisions import directory
from _jasminewind.decisions import entry_config_sync
from _jasminewind.decisions import proposals
from _jasminewind.decisions import relay
from _jasminewind.messages import work
from _jasminewind.nodes import initial_config
from _jasminewind.nodes import linked_node
from _jasminewind.nodes import node
from _jasminewind.nodes import shard_release
from _jasminewind.platform import client

REFRESH_PERIOD_S = 0.2
# Agents report to a new entry within about 2 s. Without agents an entry must
# become ready all the same, because operators reach it through the balancer.
REPORT_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryStatus:
    """Status of an entry, as served to operators.

    ``bytes_in``, ``bytes_out`` and ``messages`` (sent, by type) count the
    traffic on links since the start.
    """

    node: str
    config_version: int
    is_fresh: bool
    member_count: int
    entry_count: int
    shards_owned: int
    in_flight: int
    bytes_in: int
    bytes_out: int
    messages: dict[str, int]


class Entry(node.Node, backend.Backend):
    """Front end behind the load balancer; forwards work and owns none."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        timer_service: timers.TimerService,
        member: members.Member,
        table: client.Table,
        decision_log: linked_node.DecisionLog,
        log: typing.Any,
        rng: random.Random,
        initial_config: configuration.Configuration | None = None,
        meter: metrics.Meter = metrics.NO_METER,
    ) -> None:
        super().__init__(
            reactor=reactor,
            timer_service=timer_service,
            member=member,
            table=table,
            decision_log=decision_log,
            log=log,
            meter=meter,
        )
        self.initial_config = initial_config
        self.rng = rng
        self.directory = directory.Directory(member=member, rng=rng)
        self.config_sync = entry_config_sync.EntryConfigSync(
            member=member, rng=rng
        )
        self.relay = relay.Relay(
            member=member,
            directory=self.directory,
            rng=rng,
            freshness=self.config_sync,
        )
        self.shard_releaser = shard_release.ShardReleaser(
            node=self, member=member, rng=rng
        )
        self.tickets = itertools.count(1)
        self.pending_replies: dict[int, defer.Deferred[typing.Any]] = {}
        self.issued_ids: set[str] = set()
        self.config_waiters: list[defer.Deferred[typing.Any]] = []
        self.is_leaving = False
        self.is_initial_proposed = False
        self.notified_view: tuple[members.Member, ...] = ()
        self.was_fresh = False
        self.start_s = timer_service.now().mono_s
        self.was_reported_to = False
        self.handlers[core.ReplyToCaller] = self._reply_to_caller
        self.handlers[proposals.ProposalResult] = self._on_proposal_result
        self.handlers[core.LogDecision] = self._log_decision
        for machine in (self.config_sync, self.directory, self.relay):
            self.add_state_machine(machine)
        self.subscriptions.append(
            timer_service.every(REFRESH_PERIOD_S, self.refresh)
        )

    @classmethod
    def from_settings(
        cls, process_settings: settings.Settings, **options: typing.Any
    ) -> "Entry":
        """Create an entry from settings and the remaining arguments."""
        path = process_settings.initial_config_file
        initial = initial_config.load(pathlib.Path(path)) if path else None
        return cls(initial_config=initial, **options)

    # Backend of the API.

    def new_id(self) -> str:
        """Return an id on a shard that can take new work."""
        now = self.timers.now()
        work_id = self.relay.new_id(now)
        if work_id is None:
            # No shard has an owner, so the relay refuses this id as NOT_RUN.
            return ids.new(wall_ms=now.wall_ms, rng=self.rng)
        self.issued_ids.add(work_id)
        return work_id

    def submit(self, submit: work.Submit) -> defer.Deferred[work.Answer]:
        """Forward a job or a request; fire with its answer."""
        entry_made = submit.work_id in self.issued_ids
        self.issued_ids.discard(submit.work_id)
        self.meter.add(metrics.SUBMISSIONS, team=submit.team)
        start_s = self.timers.now().mono_s
        reply = self._call(
            lambda ticket, now: self.relay.submit(
                ticket, submit, now, entry_made=entry_made
            )
        )
        return reply.addCallback(self._measure_answer, submit.team, start_s)

    def cancel(self, work_id: str) -> None:
        """Tell the owner that the caller no longer waits for the answer."""
        self.meter.add(metrics.CANCELLATIONS)
        actions = self.relay.cancel(work_id, self.timers.now())
        self.perform(self.relay, actions)

    def query(
        self, work_id: str, *, refuse_unknown: bool = False
    ) -> defer.Deferred[work.WorkStatus]:
        """Fire with the state of a job or a request."""
        return self._call(
            lambda ticket, now: self.relay.query(
                ticket, work_id, now, refuse_unknown=refuse_unknown
            )
        )

    def explain(self, work_id: str) -> defer.Deferred[work.ExplainReply]:
        """Fire with the decisions of the owner and this entry on an id."""
        reply = self._call(
            lambda ticket, now: self.relay.explain(ticket, work_id, now)
        )
        return reply.addCallback(self._add_own_decisions)

    def config(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self.config_sync.current()

    def propose(
        self, change: changes.ConfigChange
    ) -> defer.Deferred[backend.ProposeResult]:
        """Propose a configuration change that the API has validated."""
        base = self.config()
        applied = changes.apply(base, change)
        if isinstance(applied, result.Err):
            # The configuration changed after the API validated the change;
            # the proposal then ends in a conflict that names the newer change.
            new_config = base
        else:
            new_config = applied.ok_value
        proposal = proposals.Proposal(
            change_id=change.change_id,
            expected_version=change.expected_version,
            new_config=new_config,
        )
        return self._propose(proposal)

    def wait_config(
        self, after_version: int, timeout_s: float
    ) -> defer.Deferred[configuration.Configuration]:
        """Fire with a newer configuration, or the current one at timeout."""
        if self.config().version > after_version:
            return defer.succeed(self.config())
        waiter: defer.Deferred[configuration.Configuration] = defer.Deferred()
        self.config_waiters.append(waiter)
        self.timers.after(timeout_s, lambda now: self._wake(waiter))
        return waiter

    def members(self) -> tuple[members.Member, ...]:
        """Return the live members of every cell."""
        return self.directory.members()

    def release_shard(
        self, shard: int
    ) -> defer.Deferred[backend.ReleaseResult]:
        """Release a shard, so that any agent may claim it."""
        return self.shard_releaser.release(shard)

    def is_ready(self) -> backend.Readiness:
        """Return whether the entry is fresh and not shutting down."""
        reason = ""
        if self.config().version == 0:
            reason = "it has no configuration yet"
        elif not self.config_sync.is_fresh(self.timers.now()):
            return backend.Readiness(
                ready=False,
                reason="neither the table nor other entries answer it",
                accepts_work=True,
                confirmed=False,
            )
        elif self.is_leaving:
            return backend.Readiness(
                ready=False, reason="it is shutting down", accepts_work=True
            )
        elif self._awaits_first_report():
            return backend.Readiness(
                ready=False,
                reason="no agent has reported the owners of the shards to it",
                accepts_work=True,
            )
        return backend.Readiness(ready=not reason, reason=reason)

    def now(self) -> core.Instant:
        """Return the current instant."""
        return self.timers.now()

    # Life cycle and status.

    def begin_shutdown(self) -> None:
        """Fail the health check, so that the balancer routes no more work."""
        self.is_leaving = True

    def is_idle(self) -> bool:
        """Return whether every submission has been answered."""
        return self.relay.in_flight() == 0 and not self.pending_replies

    def status(self) -> EntryStatus:
        """Return the status of this entry."""
        bytes_in, bytes_out = self.links.traffic()
        shards = range(self.config().shard_count)
        owned = [s for s in shards if self.directory.load_of(s) is not None]
        return EntryStatus(
            node=str(self.member.node),
            config_version=self.config().version,
            is_fresh=self.config_sync.is_fresh(self.timers.now()),
            member_count=len(self.directory.members()),
            entry_count=len(self.config_sync.entries()),
            shards_owned=len(owned),
            in_flight=self.relay.in_flight(),
            bytes_in=bytes_in,
            bytes_out=bytes_out,
            messages=self.links.sent_counts(),
        )

    def stop(self) -> None:
        """Close every socket."""
        self.stop_timers()
        self.links.stop()

    def apply_config(self, config: configuration.Configuration) -> None:
        """Apply a configuration and resume the calls that wait for it."""
        super().apply_config(config)
        self.shard_releaser.ownership.on_config(config, self.timers.now())
        for waiter in list(self.config_waiters):
            self._wake(waiter)

    def refresh(self, now: core.Instant) -> None:
        """Pass the current members and entries on to the state machines."""
        contacts = self.config_sync.entries()
        self.directory.set_entries(contacts)
        self.relay.set_entry_count(len(contacts))
        self._log_freshness(now)
        self._propose_initial_config(now)
        view = self.directory.members()
        if view is not self.notified_view:
            self.notified_view = view
            self.notify_view_change(view)
            self.shard_releaser.ownership.on_members(view, now)

    def record_metrics(self, now: core.Instant) -> None:
        """Record the link metrics and the gauges of this entry."""
        super().record_metrics(now)
        self.meter.record(metrics.MEMBERS, len(self.directory.members()))
        version = self.config().version
        self.meter.record(metrics.CONFIG_VERSION, version)
        confirmed_s = self.config_sync.confirmed_s(now)
        if version > 0 and math.isfinite(confirmed_s):
            age_s = now.mono_s - confirmed_s
            self.meter.record(metrics.CONFIG_AGE, age_s)

    # Internals.

    def _measure_answer(
        self, answer: work.Answer, team: str, start_s: float
    ) -> work.Answer:
        elapsed_s = self.timers.now().mono_s - start_s
        error = answer.error
        outcome = "" if error is None else error.outcome.value
        self.meter.add(
            metrics.ANSWERS, state=answer.state.value, outcome=outcome
        )
        if error is not None and error.outcome is errors.Outcome.NOT_RUN:
            self.meter.add(metrics.REFUSALS, reason=error.code.value)
            self.meter.record(metrics.REFUSAL_TIME, elapsed_s, team=team)
        else:
            self.meter.record(metrics.RESPONSE_TIME, elapsed_s, team=team)
        return answer

    def _call(
        self,
        send: collections.abc.Callable[[int, core.Instant], core.Actions],
    ) -> defer.Deferred[typing.Any]:
        ticket = next(self.tickets)
        waiter: defer.Deferred[typing.Any] = defer.Deferred(
            lambda _: self._forget(ticket)
        )
        self.pending_replies[ticket] = waiter
        self.perform(self.relay, send(ticket, self.timers.now()))
        return waiter

    def _forget(self, ticket: int) -> None:
        self.pending_replies.pop(ticket, None)
        self.relay.forget(ticket)

    def _reply_to_caller(
        self, machine: core.StateMachine, action: core.ReplyToCaller
    ) -> None:
        del machine
        waiter = self.pending_replies.pop(action.ticket, None)
        if waiter is not None:
            waiter.callback(action.message)

    def _add_own_decisions(
        self, reply: work.ExplainReply
    ) -> work.ExplainReply:
        own = self.decision_log.explain(reply.work_id)
        return dataclasses.replace(reply, entries=own + reply.entries)

    def _propose(
        self, proposal: proposals.Proposal
    ) -> defer.Deferred[backend.ProposeResult]:
        ticket = next(self.tickets)
        waiter: defer.Deferred[backend.ProposeResult] = defer.Deferred(
            lambda _: self._forget(ticket)
        )
        self.pending_replies[ticket] = waiter
        now = self.timers.now()
        actions = self.config_sync.propose(ticket, proposal, now)
        self.perform(self.config_sync, actions)
        return waiter

    def _on_proposal_result(
        self, machine: core.StateMachine, action: proposals.ProposalResult
    ) -> None:
        del machine
        waiter = self.pending_replies.pop(action.ticket, None)
        if waiter is not None:
            waiter.callback(proposal_result(action))

    def _propose_initial_config(self, now: core.Instant) -> None:
        """Propose the initial configuration if the table has none."""
        if self.initial_config is None or self.is_initial_proposed:
            return
        if self.config().version > 0:
            return
        if self.config_sync.registry.last_read_s is None:
            return
        self.is_initial_proposed = True
        change_id = f"initial-{self.member.node.name}"
        proposal = proposals.Proposal(
            change_id=change_id,
            expected_version=0,
            new_config=dataclasses.replace(
                self.initial_config,
                version=1,
                change_ids=(change_id,),
                author=self.member.node.name,
            ),
        )
        self._propose(proposal).addCallback(self._on_initial_result)

    def _on_initial_result(self, outcome: backend.ProposeResult) -> None:
        match outcome:
            case result.Err(changes.ConfigUnavailable()):
                self.is_initial_proposed = False

    def _awaits_first_report(self) -> bool:
        """Return whether the entry is new and knows no agents yet."""
        if not self.was_reported_to:
            passed_s = self.timers.now().mono_s - self.start_s
            self.was_reported_to = (
                self.directory.has_complete_report()
                or passed_s >= REPORT_TIMEOUT_S
            )
        return not self.was_reported_to

    def _log_freshness(self, now: core.Instant) -> None:
        """Log when the entry begins or ceases to be fresh."""
        is_fresh = self.config_sync.is_fresh(now)
        if is_fresh is self.was_fresh:
            return
        self.was_fresh = is_fresh
        age_s = now.mono_s - self.config_sync.confirmed_s(now)
        self.decision_log.write(
            core.LogDecision(
                kind="freshness",
                choice="fresh" if is_fresh else "stale",
                reason=(
                    f"version {self.config().version} was confirmed "
                    f"{age_s:.1f} s ago"
                ),
            )
        )

    def _wake(self, waiter: defer.Deferred[typing.Any]) -> None:
        if waiter in self.config_waiters:
            self.config_waiters.remove(waiter)
            waiter.callback(self.config())

    def _log_decision(
        self, machine: core.StateMachine, action: core.LogDecision
    ) -> None:
        self._log(machine, action)
        if machine is self.shard_releaser.ownership:
            self.shard_releaser.on_log_decision(action)


def proposal_result(
    outcome: proposals.ProposalResult,
) -> backend.ProposeResult:
    """Convert the result of a proposal to the API's result type."""
    match outcome.status:
        case proposals.ProposalStatus.ACCEPTED:
            return result.Ok(
                changes.ConfigAccepted(version=outcome.config.version)
            )
        case proposals.ProposalStatus.CONFLICT:
            conflicting_id = (
                outcome.config.change_ids[-1]
                if outcome.config.change_ids
                else ""
            )
            return result.Err(
                changes.ConfigConflict(
                    version=outcome.config.version,
                    change_id=conflicting_id,
                    author=outcome.config.author,
                )
            )
        case proposals.ProposalStatus.NOT_WRITTEN:
            return result.Err(changes.ConfigUnavailable(reason=outcome.reason))
        case proposals.ProposalStatus.UNKNOWN:
            return result.Err(changes.ConfigUnknown(reason=outcome.reason))
