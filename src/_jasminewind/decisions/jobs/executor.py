"""What one agent starts, stops and keeps alive on its endpoint."""

import collections
import dataclasses
import math
import typing

from _jasminewind import members
from _jasminewind import metrics
from _jasminewind import resources
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import grants
from _jasminewind.decisions.jobs import leases
from _jasminewind.decisions.jobs import room
from _jasminewind.messages import runs

# An unanswered stop is sent again after this time.
STOP_RETRY_S = 0.3
# A caller that went away may submit its job elsewhere after 1.3 s. While its
# stop is unanswered the lease is renewed for no longer than this, so that the
# run lapses (0.5 s) before.
RENEW_DESPITE_STOP_S = 0.6
# The endpoint answers a renewal after this time when nothing ends. While it
# runs something, an answer that is lost must not hide its ends for long;
# otherwise the lease of a run that starts meanwhile is renewed in time.
RENEW_WAIT_S = 0.1
IDLE_RENEW_WAIT_S = 0.25
# Renewals in a row without an answer before the endpoint counts as out of
# reach; single answers are lost while others arrive.
LOST_RENEWALS = 3
# Pause after a renewal without an answer.
RENEW_RETRY_S = 0.05
# Ends are kept this long for an owner whose link was replaced; an owner
# gives an agent up after less.
KEEP_ENDS_S = 10.0
# An endpoint announces itself every 1.5 s; after three times that, and with
# every lease long lapsed, it is gone.
ENDPOINT_GONE_S = 4.5
# Step of the fencing token when the endpoint has seen a higher one, which
# happens after its wall clock was set back. In ms, as the token.
FENCING_TOKEN_STEP_MS = 10_000
# Weight of one run in the mean of run time divided by estimate; the first
# runs weigh more, beside the one that the initial value stands for.
SLOWNESS_WEIGHT = 0.1
# Runs from which on the mean is worth keeping for the next process.
MIN_SLOWNESS_SAMPLES = 10
# One run counts within this factor of the mean, as estimates are rough.
MAX_SLOWNESS_RATIO = 4.0
# Messages about its load that an agent sends in a second to all entries
# together: with three entries one in each tick, with more the less to each, so
# that a fleet that grows in both does not send more to an entry. Beats and
# ends of runs tell the load as well.
LOAD_MESSAGES_PER_S = 60
# Estimates below this are not used to learn, in seconds.
MIN_ESTIMATE_S = 0.005


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeptEnd:
    """An end that its owner may still ask for."""

    end: runs.RunEnd
    at_s: float


class RunExecutor(core.StateMachine):
    """Guards the capacity of one endpoint and the starts on it.

    Runs live only as long as their owner confirms beats and as long as
    this agent renews the endpoint's lease.
    """

    TICK_S = 0.05

    def __init__(self, *, meter: metrics.Meter = metrics.NO_METER) -> None:
        self.meter = meter
        self.endpoint: runs.EndpointRecord | None = None
        self.announced_s = 0.0
        self.lease = leases.EndpointLease()
        self.fencing_token = 0
        self.last_end = 0
        self.is_settled = False
        self.is_reachable = False
        self.is_draining = False
        self.is_leaving = False
        self.is_renewing = False
        self.lost_renewals = 0
        self.renew_at_s = 0.0
        self.room = room.Room()
        self.grants = grants.Grants()
        self.kept: dict[runs.RunKey, KeptEnd] = {}
        self.unknown_stops: dict[runs.RunKey, float] = {}
        self.load_sequence = 0
        self.load_changed = False
        self.next_load_s = 0.0
        self.slowness = 1.0
        self.slowness_samples = 0
        self.ends: dict[members.NodeId, list[runs.RunEnd]] = (
            collections.defaultdict(list)
        )
        self.actions: core.Actions = []

    def handles(self) -> typing.Iterable[type]:
        """Return the messages of owners."""
        return (
            runs.BeatEcho,
            runs.StartRuns,
            runs.StopRuns,
            runs.QueryRuns,
        )

    def flush(self) -> core.Actions:
        """Return what was asked for, with the ends for each owner."""
        for owner, ends in self.ends.items():
            message = runs.RunsEnded(ends=tuple(ends), load=self.load(owner))
            self.actions.append(actions.send(owner, message))
        self.ends.clear()
        taken, self.actions = self.actions, []
        return taken

    def log(
        self, kind: str, reason: str, key: runs.RunKey | None = None
    ) -> None:
        """Log one decision, on a run where there is one."""
        task = "" if key is None else str(key)
        self.actions.append(
            core.LogDecision(
                kind=kind,
                work_id=task.partition(".")[0],
                task=task,
                choice="" if self.endpoint is None else self.endpoint.name,
                reason=reason,
            )
        )

    # The endpoint

    def set_entries(self, entries: tuple[members.Address, ...]) -> None:
        """Take the addresses of the entries to send beats to."""
        self.grants.entries = entries

    def on_announcement(
        self,
        record: runs.EndpointRecord,
        *,
        clock_ms: int,
        is_draining: bool,
        now: core.Instant,
    ) -> core.Actions:
        """Take an announcement of the endpoint."""
        known = self.endpoint
        self.announced_s = now.mono_s
        if known is None or known.name != record.name:
            self.attach(record, clock_ms, now)
        elif record.born_ms < known.born_ms:
            return []
        elif record.born_ms > known.born_ms:
            self.attach(record, clock_ms, now)
        elif record != known:
            self.endpoint = record
            self.room.capacity = record.capacity
            self.load_changed = True
        if is_draining != self.is_draining:
            self.is_draining = is_draining
            self.load_changed = True
            self.log("endpoint_state", f"draining: {is_draining}")
            if is_draining:
                self.refuse_queue("the endpoint is draining", now)
        self.pump(now)
        return self.flush()

    def restore_endpoint(
        self, record: runs.EndpointRecord, now: core.Instant
    ) -> core.Actions:
        """Attach to the endpoint that an earlier process here has known.

        Its answers tell whether it still lives, and its clock.
        """
        if self.endpoint is None:
            self.announced_s = now.mono_s
            self.log("recall", f"{record.name} was known to this agent")
            self.attach(record, 0, now)
        return self.flush()

    def attach(
        self, record: runs.EndpointRecord, clock_ms: int, now: core.Instant
    ) -> None:
        """Begin with a new life of the endpoint."""
        self.lose_everything("the endpoint was replaced", now)
        self.endpoint = record
        self.room.capacity = record.capacity
        self.is_draining = False
        self.lease = leases.EndpointLease()
        self.lease.heard(clock_ms, now.mono_s)
        # Wall time of the endpoint, so that the token rises with each
        # process here and with each life of the endpoint.
        self.fencing_token = max(
            self.fencing_token + 1, record.born_ms + clock_ms
        )
        self.last_end = 0
        self.is_settled = False
        self.is_renewing = False
        self.unknown_stops.clear()
        self.load_changed = True
        self.log("attach", f"fence {self.fencing_token}, {record.capacity}")
        self.renew(now)

    def on_endpoint_left(self, name: str, now: core.Instant) -> core.Actions:
        """Take the endpoint's word that it ends now."""
        if self.endpoint is not None and self.endpoint.name == name:
            self.forget_endpoint("it said that it leaves", now)
        return self.flush()

    def forget_endpoint(self, why: str, now: core.Instant) -> None:
        """Give the endpoint up until it announces itself again."""
        self.lose_everything(why, now)
        self.log("endpoint_gone", why)
        self.endpoint = None
        self.is_settled = False
        self.load_changed = True

    def lose_everything(self, why: str, now: core.Instant) -> None:
        """End every run, because the endpoint certainly runs none."""
        for run in list(self.room.runs.values()):
            outcome = runs.RunOutcome.LAPSED
            if run.state is room.RunState.QUEUED:
                outcome = runs.RunOutcome.NOT_STARTED
            self.end(run, outcome, now, reason=why)

    def is_accepting(self) -> bool:
        """Tell whether new runs are taken."""
        return (
            self.endpoint is not None
            and self.is_settled
            and self.is_reachable
            and not self.is_draining
            and not self.is_leaving
        )

    def begin_shutdown(self, now: core.Instant) -> core.Actions:
        """Take no new runs; those that run may end."""
        self.is_leaving = True
        self.load_changed = True
        self.refuse_queue("the agent is shutting down", now)
        return self.flush()

    def refuse_queue(self, why: str, now: core.Instant) -> None:
        """Give back everything that has not started."""
        for run in list(self.room.queue):
            self.end(run, runs.RunOutcome.NOT_STARTED, now, reason=why)

    def is_idle(self) -> bool:
        """Tell whether nothing runs or waits."""
        return not self.room.runs

    # Owners

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Take a message of an owner."""
        if isinstance(message, runs.BeatEcho):
            if self.grants.confirm(sender, message.sequence):
                self.log("owner", f"{sender} uses this agent")
        elif isinstance(message, runs.StartRuns):
            self.on_start(sender, message, now)
        elif isinstance(message, runs.StopRuns):
            for key in message.keys:
                run = self.room.runs.get(key)
                if run is not None and run.owner == sender:
                    self.stop(
                        run,
                        runs.RunOutcome.STOPPED,
                        now,
                        renew_for_s=RENEW_DESPITE_STOP_S,
                    )
        elif isinstance(message, runs.QueryRuns):
            self.on_query(sender, message, now)
        return self.flush()

    def on_start(
        self,
        sender: members.NodeId,
        message: runs.StartRuns,
        now: core.Instant,
    ) -> None:
        """Queue the runs of one batch, or refuse them as not started."""
        owner = self.grants.owner(sender)
        owner.batch = max(owner.batch, message.batch)
        age_s = self.grants.age_s(message.grant, now.mono_s)
        if age_s <= leases.OWNER_GRANT_S:
            # A start under a grant proves its owner to be alive as well
            # as an echo does.
            self.grants.confirm(sender, message.grant)
        for order in message.orders:
            why = self.refusal(order, age_s)
            if why:
                self.log("refuse_run", why, order.key)
                self.meter.add(metrics.ORDERS_REFUSED)
                self.refuse(sender, order.key, why, now)
            else:
                due_s = now.mono_s + order.slack_s
                self.room.enqueue(room.Run(order, sender, due_s))
        self.load_changed = True
        self.pump(now)

    def refusal(self, order: runs.RunOrder, age_s: float) -> str:
        """Return why an order cannot be taken, empty when it can."""
        if not self.is_accepting():
            return "the endpoint takes no new work"
        if age_s > leases.OWNER_GRANT_S:
            return f"the grant is {age_s:.2f} s old"
        if order.key in self.kept:
            return "the run has already ended"
        return self.room.refusal(order)

    def refuse(
        self,
        owner: members.NodeId,
        key: runs.RunKey,
        why: str,
        now: core.Instant,
    ) -> None:
        """Report a run that will never start here."""
        end = runs.RunEnd(
            key=key, outcome=runs.RunOutcome.NOT_STARTED, reason=why
        )
        if key not in self.room.runs:
            self.kept.setdefault(key, KeptEnd(end=end, at_s=now.mono_s))
        self.ends[owner].append(end)

    def on_query(
        self,
        sender: members.NodeId,
        message: runs.QueryRuns,
        now: core.Instant,
    ) -> None:
        """Report which runs have ended or were never seen."""
        for key in message.keys:
            if key in self.room.runs:
                continue
            kept = self.kept.get(key)
            if kept is not None:
                self.ends[sender].append(kept.end)
            else:
                self.refuse(sender, key, "its order never arrived", now)

    def expire_owners(self, now: core.Instant) -> None:
        """Stop the runs of owners that are silent for too long."""
        for owner in self.grants.expire(now.mono_s):
            orphans = [
                run
                for run in self.room.runs.values()
                if run.owner == owner.node
            ]
            silent_s = now.mono_s - owner.granted_s
            self.log(
                "owner_lost",
                f"{owner.node} confirmed no beat for {silent_s:.2f} s; "
                f"{len(orphans)} runs are stopped",
            )
            for run in orphans:
                self.stop(run, runs.RunOutcome.STOPPED, now, renew_for_s=0.0)

    # Starts and stops

    def pump(self, now: core.Instant) -> None:
        """Start what waits while it fits."""
        if self.endpoint is None or not self.is_accepting():
            return
        if not self.may_extend(now):
            # The deadline of a start is a renewal as well.
            return
        while run := self.room.next_to_start():
            run.deadline_ms = self.lease.next_deadline_ms(now.mono_s)
            self.actions.append(
                actions.CallStart(
                    endpoint=self.endpoint,
                    fencing_token=self.fencing_token,
                    order=run.order,
                    deadline_ms=run.deadline_ms,
                )
            )

    def on_start_reply(
        self, key: runs.RunKey, reply: actions.CallReply, now: core.Instant
    ) -> core.Actions:
        """Take the endpoint's answer to a start."""
        self.hear(reply, now)
        run = self.room.runs.get(key)
        if run is None or run.state is not room.RunState.STARTING:
            return self.flush()
        if reply.outcome is actions.CallOutcome.DONE:
            run.state = room.RunState.RUNNING
            run.started_s = now.mono_s
            run.seen.begin(now.mono_s)
        elif reply.outcome is actions.CallOutcome.LOST:
            run.state = room.RunState.DOUBTFUL
            self.log("start_unanswered", reply.reason, key)
            self.meter.add(metrics.STARTS_UNANSWERED)
            self.stop(run, runs.RunOutcome.LAPSED, now)
        else:
            outcome = runs.RunOutcome.NOT_STARTED
            if reply.outcome is actions.CallOutcome.OUTDATED:
                outcome = runs.RunOutcome.OUTDATED
            why = f"{reply.outcome.value}: {reply.reason}"
            self.log("start_refused", why, key)
            if reply.outcome is actions.CallOutcome.UNHEALTHY:
                self.set_reachable(False, why, now)
            self.end(run, outcome, now, reason=why)
        self.pump(now)
        return self.flush()

    def hear(self, reply: actions.CallReply, now: core.Instant) -> None:
        """Learn the clock of the endpoint, and of a higher token."""
        if reply.clock_ms:
            self.lease.heard(reply.clock_ms, now.mono_s)
        if reply.outcome is actions.CallOutcome.FENCED and self.endpoint:
            wall_ms = self.endpoint.born_ms + reply.clock_ms
            self.fencing_token = max(
                self.fencing_token + FENCING_TOKEN_STEP_MS, wall_ms
            )
            self.log("fence", f"raised to {self.fencing_token}")

    def stop(
        self,
        run: room.Run,
        outcome: runs.RunOutcome,
        now: core.Instant,
        *,
        renew_for_s: float = math.inf,
    ) -> None:
        """Stop a run; one that still waits ends at once.

        Until the stop is answered, the lease of the endpoint is renewed for
        ``renew_for_s`` at most.
        """
        run.renew_until_s = min(run.renew_until_s, now.mono_s + renew_for_s)
        if run.state is room.RunState.QUEUED:
            outcome = runs.RunOutcome.NOT_STARTED
            self.end(run, outcome, now, reason="stopped in the queue")
        elif not run.stopping:
            run.stopping = True
            run.stop_outcome = outcome
            run.stop_sent_s = now.mono_s
            self.send_stop(run.key)

    def send_stop(self, key: runs.RunKey) -> None:
        """Ask the endpoint to stop a run."""
        if self.endpoint is not None:
            self.actions.append(
                actions.CallStop(
                    endpoint=self.endpoint,
                    fencing_token=self.fencing_token,
                    key=key,
                )
            )

    def on_stop_reply(
        self, key: runs.RunKey, reply: actions.CallReply, now: core.Instant
    ) -> core.Actions:
        """Take the endpoint's answer to a stop."""
        self.hear(reply, now)
        run = self.room.runs.get(key)
        if run is not None and reply.outcome is actions.CallOutcome.DONE:
            run.stop_answered_s = now.mono_s
            if run.state is room.RunState.DOUBTFUL:
                self.look()
        return self.flush()

    def look(self) -> None:
        """Read the state at once, beside a renewal that waits."""
        if self.endpoint is not None:
            self.actions.append(
                actions.CallRenew(
                    endpoint=self.endpoint,
                    fencing_token=self.fencing_token,
                    deadline_ms=0,
                    last_end=self.last_end,
                    wait_s=0.0,
                    is_extra=True,
                )
            )

    def repeat_stops(self, now: core.Instant) -> None:
        """Send stops again that were not answered."""
        for run in self.room.runs.values():
            waited_s = now.mono_s - run.stop_sent_s
            if not run.stopping or run.stop_answered_s:
                continue
            if waited_s >= STOP_RETRY_S:
                run.stop_sent_s = now.mono_s
                self.send_stop(run.key)

    # Renewals

    def renew(self, now: core.Instant) -> None:
        """Renew the lease, one call at a time."""
        if self.endpoint is None or self.is_renewing:
            return
        self.is_renewing = True
        deadline_ms = 0
        wait_s = 0.0
        if self.is_settled:
            # Renewals without an answer may still take effect. Once the
            # endpoint is out of reach they only read, so that the lease
            # certainly lapses and its work can go elsewhere.
            if self.is_reachable and self.may_extend(now):
                deadline_ms = self.lease.next_deadline_ms(now.mono_s)
            is_idle = self.is_idle()
            wait_s = IDLE_RENEW_WAIT_S if is_idle else RENEW_WAIT_S
        self.actions.append(
            actions.CallRenew(
                endpoint=self.endpoint,
                fencing_token=self.fencing_token,
                deadline_ms=deadline_ms,
                last_end=self.last_end,
                wait_s=wait_s,
            )
        )

    def may_extend(self, now: core.Instant) -> bool:
        """Tell whether no run has to lapse whose stop is unanswered."""
        return all(
            run.stop_answered_s or now.mono_s < run.renew_until_s
            for run in self.room.runs.values()
        )

    def on_renew_reply(
        self,
        call: actions.CallRenew,
        reply: actions.RenewReply,
        now: core.Instant,
    ) -> core.Actions:
        """Take the state of the endpoint, and renew again."""
        known = self.endpoint
        if known is None or known.name != call.endpoint.name:
            return []
        if known.born_ms != call.endpoint.born_ms:
            return []
        if not call.is_extra:
            self.is_renewing = False
        self.hear(
            actions.CallReply(outcome=reply.outcome, clock_ms=reply.clock_ms),
            now,
        )
        if is_other_life(call.endpoint, reply):
            self.forget_endpoint("another life answers for it", now)
            return self.flush()
        if reply.outcome is not actions.CallOutcome.DONE:
            if not call.is_extra:
                self.take_lost_renewal(reply, now)
            return self.flush()
        self.set_reachable(True, "it answered a renewal", now)
        self.take_ends(reply, now)
        self.lost_renewals = 0
        self.take_running(reply, now)
        # A process that was paused stops the work of owners that gave it
        # up before it renews the lease of that work.
        self.expire_owners(now)
        self.pump(now)
        if self.is_settled:
            self.renew(now)
        elif not call.is_extra:
            self.renew_at_s = now.mono_s + RENEW_RETRY_S
        return self.flush()

    def take_lost_renewal(
        self, reply: actions.RenewReply, now: core.Instant
    ) -> None:
        """Renew again soon; take no new work when that fails too.

        A refused connection is no proof that the endpoint's work is gone:
        something between the two may refuse it. The lease must lapse.
        """
        self.lost_renewals += 1
        self.meter.add(metrics.RENEWALS_LOST)
        was_lost = reply.outcome is actions.CallOutcome.LOST
        if self.lost_renewals >= LOST_RENEWALS or not was_lost:
            self.renew_at_s = now.mono_s + RENEW_RETRY_S
            why = f"renewal: {reply.outcome.value}"
            self.set_reachable(False, why, now)
        else:
            self.renew(now)

    def set_reachable(
        self, is_reachable: bool, why: str, now: core.Instant
    ) -> None:
        """Note whether the endpoint answers; only then it gets new work."""
        if is_reachable != self.is_reachable:
            self.is_reachable = is_reachable
            self.load_changed = True
            self.log("reachable", f"{is_reachable}: {why}")
            if not is_reachable:
                self.refuse_queue("the endpoint does not answer", now)

    def take_ends(self, reply: actions.RenewReply, now: core.Instant) -> None:
        """Report the ends that the endpoint lists."""
        for listed in reply.ended:
            if listed.number <= self.last_end:
                continue
            self.last_end = listed.number
            self.unknown_stops.pop(listed.key, None)
            run = self.room.runs.get(listed.key)
            if run is None:
                continue
            outcome = listed.outcome
            if outcome is runs.RunOutcome.STOPPED:
                outcome = run.stop_outcome
            self.end(run, outcome, now, checkpoint=listed.checkpoint)

    def take_running(
        self, reply: actions.RenewReply, now: core.Instant
    ) -> None:
        """Compare what runs with what should run."""
        listed = {each.key: each for each in reply.running}
        unknown = [key for key in listed if key not in self.room.runs]
        for key in unknown:
            self.stop_unknown(key, now)
        if not self.is_settled and not unknown and reply.complete:
            self.is_settled = True
            self.load_changed = True
            self.log("settled", "no unknown run is left")
        for run in list(self.room.runs.values()):
            seen = listed.get(run.key)
            if seen is not None:
                self.take_progress(run, seen, now)
            elif reply.complete and is_absent(run, reply):
                self.end_absent(run, now)

    def end_absent(self, run: room.Run, now: core.Instant) -> None:
        """End a run that the endpoint does not list any more."""
        outcome = runs.RunOutcome.LAPSED
        if run.state is room.RunState.DOUBTFUL:
            outcome = runs.RunOutcome.NOT_STARTED
        why = "the endpoint does not list it"
        self.log("run_absent", why, run.key)
        self.end(run, outcome, now, reason=why)

    def take_progress(
        self, run: room.Run, seen: actions.RunningRun, now: core.Instant
    ) -> None:
        """Note the progress of a run; stop one that stands still."""
        if run.state is not room.RunState.RUNNING or run.stopping:
            return
        run.seen.note(seen.percent, now.mono_s)
        estimate_s = run.order.estimate_s
        if run.seen.is_stalled(estimate_s, now.mono_s):
            ran_s = now.mono_s - run.started_s
            self.log(
                "stall",
                f"{seen.percent}% after {ran_s:.2f} s, "
                f"{estimate_s:.2f} s estimated",
                run.key,
            )
            self.stop(run, runs.RunOutcome.STALLED, now)

    def stop_unknown(self, key: runs.RunKey, now: core.Instant) -> None:
        """Stop a run that nobody here ordered or that was given up."""
        sent_s = self.unknown_stops.get(key, -STOP_RETRY_S)
        if now.mono_s - sent_s < STOP_RETRY_S:
            return
        self.unknown_stops[key] = now.mono_s
        self.log("stop_unknown", "no owner here knows it", key)
        self.send_stop(key)

    # Ends

    def end(
        self,
        run: room.Run,
        outcome: runs.RunOutcome,
        now: core.Instant,
        *,
        checkpoint: str = "",
        reason: str = "",
    ) -> None:
        """Forget a run and report its end to its owner."""
        self.room.remove(run)
        run_s = now.mono_s - run.started_s if run.started_s else 0.0
        if outcome is runs.RunOutcome.DONE and not self.lost_renewals:
            # After a lost answer the time of the end is not known.
            self.learn(run.order.estimate_s, run_s)
        self.meter.add(metrics.RUNS_ENDED, outcome=outcome.value)
        if run_s:
            self.meter.record(metrics.RUN_TIME, run_s)
        end = runs.RunEnd(
            key=run.key,
            outcome=outcome,
            run_s=run_s,
            checkpoint=checkpoint,
            reason=reason,
        )
        self.kept[run.key] = KeptEnd(end=end, at_s=now.mono_s)
        self.ends[run.owner].append(end)
        self.load_changed = True

    def learn(self, estimate_s: float, run_s: float) -> None:
        """Adjust the mean of run time divided by estimate."""
        if estimate_s < MIN_ESTIMATE_S:
            return
        low = self.slowness / MAX_SLOWNESS_RATIO
        high = self.slowness * MAX_SLOWNESS_RATIO
        sample = min(max(run_s / estimate_s, low), high)
        self.slowness_samples += 1
        weight = max(SLOWNESS_WEIGHT, 1.0 / (self.slowness_samples + 1))
        self.slowness += weight * (sample - self.slowness)

    def restore_slowness(self, slowness: float) -> None:
        """Go on with the mean that an earlier process has learned."""
        self.slowness = slowness
        self.slowness_samples = MIN_SLOWNESS_SAMPLES

    def learned_slowness(self) -> float | None:
        """Return the mean, or nothing while it stands on too few runs."""
        if self.slowness_samples < MIN_SLOWNESS_SAMPLES:
            return None
        return round(self.slowness, 3)

    # Time and load

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Send beats, expire owners, repeat calls and forget old ends."""
        self.expire_owners(now)
        self.repeat_stops(now)
        if not self.is_renewing and now.mono_s >= self.renew_at_s:
            self.renew(now)
        if self.room.runs and self.lease.lapsed(now.mono_s):
            self.log("lease_lapsed", "the endpoint does not answer")
            self.lose_everything("the endpoint does not answer", now)
            self.is_settled = False
            self.load_changed = True
        silent_s = now.mono_s - self.announced_s
        if self.endpoint is not None and silent_s > ENDPOINT_GONE_S:
            self.forget_endpoint(f"silent for {silent_s:.1f} s", now)
        if now.mono_s >= self.grants.next_beat_s:
            self.forget_ends(now)
            self.actions += self.grants.beats(
                self.load(), self.endpoint, now.mono_s
            )
            self.load_changed = False
        elif self.load_changed and now.mono_s >= self.next_load_s:
            self.load_changed = False
            period_s = len(self.grants.owners) / LOAD_MESSAGES_PER_S
            self.next_load_s = now.mono_s + period_s
            for node in self.grants.owners:
                message = runs.LoadChanged(load=self.load(node))
                self.actions.append(actions.send(node, message))
        return self.flush()

    def forget_ends(self, now: core.Instant) -> None:
        """Forget ends that no owner asks for any more."""
        limit_s = now.mono_s - KEEP_ENDS_S
        for key, kept in list(self.kept.items()):
            if kept.at_s > limit_s:
                break
            del self.kept[key]

    def load(self, receiver: members.NodeId | None = None) -> runs.AgentLoad:
        """Return the load to report to ``receiver``.

        A beat goes to processes whose identity is not known yet, and
        therefore names no batch.
        """
        self.load_sequence += 1
        owner = self.grants.owners.get(receiver) if receiver else None
        free = self.room.free()
        return runs.AgentLoad(
            sequence=self.load_sequence,
            accepting=self.is_accepting(),
            free=resources.Resources(
                cores=round(free.cores, 3),
                memory_mb=round(free.memory_mb, 3),
                accelerators=round(free.accelerators, 3),
            ),
            running=len(self.room.runs) - len(self.room.queue),
            queued=len(self.room.queue),
            slowness=round(self.slowness, 3),
            owners=max(len(self.grants.owners), 1),
            batch=owner.batch if owner else 0,
        )


def is_absent(run: room.Run, reply: actions.RenewReply) -> bool:
    """Tell whether a run that is not listed certainly does not run."""
    if run.state is room.RunState.RUNNING:
        return run.started_s < reply.sent_s
    if run.state is room.RunState.DOUBTFUL:
        was_stopped = 0.0 < run.stop_answered_s < reply.sent_s
        return was_stopped or reply.clock_ms > run.deadline_ms
    return False


def is_other_life(
    known: runs.EndpointRecord, reply: actions.RenewReply
) -> bool:
    """Tell whether a later life than the known one has answered."""
    if reply.outcome is actions.CallOutcome.OTHER_ENDPOINT:
        return True
    return bool(known.born_ms) and reply.born_ms > known.born_ms
