"""Fake endpoint that implements the protocol of the platform."""

import dataclasses

from _jasminewind import resources
from _jasminewind.decisions.jobs import actions
from _jasminewind.messages import runs

LEASE_MS = 1_000


@dataclasses.dataclass
class Running:
    """A run in progress; ``ends_s`` is infinite for one that hangs.

    ``work_began_s`` is the start time that its current speed implies.
    """

    key: runs.RunKey
    need: resources.Resources
    began_s: float
    ends_s: float
    outcome: runs.RunOutcome = runs.RunOutcome.DONE
    work_began_s: float = 0.0


class FakeEndpoint:
    """Starts every run it is asked to, whether it fits or not.

    ``violations`` collects broken invariants: runs beyond the capacity, and
    overlapping runs of one task on any of ``peers``. With ``names_birth`` its
    lists of runs contain the time of its start.
    """

    names_birth = False

    def __init__(self, name, *, cores=10.0, speed=1.0, born_s=0.0, rack="r1"):
        self.record = runs.EndpointRecord(
            name=name,
            born_ms=int(born_s * 1000) + 1,
            service="orders",
            failure_domain="a",
            capacity=resources.Resources(cores=cores, memory_mb=10_000.0),
            labels=(rack,),
        )
        self.speed = speed
        self.born_s = born_s
        self.fencing_token = 0
        self.lease_ms = 0
        self.running = {}
        self.ended = []
        self.last_end_number = 0
        self.highest_run = {}
        self.is_down = False
        self.is_leaving = False
        # Until then it stays at least, once it drains.
        self.drain_ends_s = None
        self.refuses_connections = False
        self.is_faulty = False
        self.is_hanging = False
        self.peers = [self]
        self.violations = []
        self.starts = []
        self.done = set()

    def clock_ms(self, now_s):
        """Return the time on the clock of the endpoint."""
        return int((now_s - self.born_s) * 1000) + 1_000

    def drain_remaining_s(self, now_s):
        """Return how long it stays at least, ``None`` if it does not drain."""
        if self.drain_ends_s is None:
            return None
        return max(self.drain_ends_s - now_s, 0.0)

    def advance(self, now_s):
        """End the runs that are complete, and all if the lease expired."""
        for run in list(self.running.values()):
            if run.ends_s <= now_s:
                self.finish(run, run.outcome)
        if self.running and self.clock_ms(now_s) > self.lease_ms:
            for run in list(self.running.values()):
                self.finish(run, runs.RunOutcome.LAPSED)

    def finish(self, run, outcome):
        """End a run and list its end."""
        del self.running[run.key]
        if outcome is runs.RunOutcome.DONE:
            self.done.add(run.key.task)
        self.last_end_number += 1
        self.ended.append(
            actions.ListedEnd(
                number=self.last_end_number, key=run.key, outcome=outcome
            )
        )
        highest_run = self.highest_run.get(run.key.task, 0)
        self.highest_run[run.key.task] = max(highest_run, run.key.number)

    def rejection(self, fencing_token, now_s):
        """Return the refusal of a call, or ``None`` to accept it."""
        self.advance(now_s)
        if self.refuses_connections:
            return actions.CallReply(outcome=actions.CallOutcome.UNHEALTHY)
        if fencing_token < self.fencing_token:
            return actions.CallReply(
                outcome=actions.CallOutcome.FENCED,
                clock_ms=self.clock_ms(now_s),
            )
        self.fencing_token = fencing_token
        return None

    def reply(self, outcome, now_s):
        """Return a reply with ``outcome``."""
        return actions.CallReply(
            outcome=outcome, clock_ms=self.clock_ms(now_s)
        )

    def start(self, action, now_s, work_s):
        """Start a run that takes ``work_s`` at speed 1."""
        refusal = self.rejection(action.fencing_token, now_s)
        if refusal:
            return refusal
        key = action.order.key
        if key in self.running:
            return self.reply(actions.CallOutcome.DONE, now_s)
        if action.deadline_ms <= self.clock_ms(now_s):
            return self.reply(actions.CallOutcome.LATE, now_s)
        self.extend_lease(action.deadline_ms, now_s)
        if key.number <= self.highest_run.get(key.task, 0):
            return self.reply(actions.CallOutcome.OUTDATED, now_s)
        self.check_duplicate(key, now_s)
        ends_s = now_s + work_s / self.speed
        outcome = runs.RunOutcome.DONE
        if self.is_faulty:
            ends_s = now_s + 0.01
            outcome = runs.RunOutcome.FAILED
        if self.is_hanging:
            ends_s = float("inf")
        run = Running(key, action.order.need, now_s, ends_s, outcome)
        self.running[key] = run
        self.starts.append((now_s, key))
        self.check_capacity(key)
        return self.reply(actions.CallOutcome.DONE, now_s)

    def check_duplicate(self, key, now_s):
        """Record a violation if the task still runs elsewhere."""
        for peer in self.peers:
            peer.advance(now_s)
            for other in peer.running:
                if other.task == key.task and not peer.is_down:
                    self.violations.append(
                        f"{key} starts on {self.record.name} while {other} "
                        f"runs on {peer.record.name}"
                    )

    def check_capacity(self, key):
        """Record a violation if the runs exceed the capacity."""
        used = resources.NOTHING
        for run in self.running.values():
            used += run.need
        if used.cores > self.record.capacity.cores + 1e-6:
            self.violations.append(
                f"{key} raises the use to {used.cores} cores"
            )

    def extend_lease(self, deadline_ms, now_s):
        """Extend the lease, capped at ``LEASE_MS`` from now."""
        longest_ms = self.clock_ms(now_s) + LEASE_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest_ms))

    def stop(self, action, now_s):
        """Stop a run, or prevent one that has not started yet."""
        refusal = self.rejection(action.fencing_token, now_s)
        if refusal:
            return refusal
        run = self.running.get(action.key)
        if run is not None:
            self.finish(run, runs.RunOutcome.STOPPED)
        highest_run = self.highest_run.get(action.key.task, 0)
        self.highest_run[action.key.task] = max(highest_run, action.key.number)
        return self.reply(actions.CallOutcome.DONE, now_s)

    def renew(self, action, now_s, sent_s):
        """Renew the lease, and list active and ended runs."""
        refusal = self.rejection(action.fencing_token, now_s)
        if refusal:
            return actions.RenewReply(
                outcome=refusal.outcome,
                sent_s=sent_s,
                clock_ms=refusal.clock_ms,
            )
        self.ended = [e for e in self.ended if e.number > action.last_end]
        if action.deadline_ms > self.clock_ms(now_s):
            self.extend_lease(action.deadline_ms, now_s)
        return actions.RenewReply(
            outcome=actions.CallOutcome.DONE,
            sent_s=sent_s,
            clock_ms=self.clock_ms(now_s),
            running=tuple(
                actions.RunningRun(
                    key=run.key, percent=self.percent(run, now_s)
                )
                for run in self.running.values()
            ),
            ended=tuple(self.ended),
            born_ms=self.record.born_ms if self.names_birth else 0,
        )

    def slow_down(self, now_s, factor):
        """Make all runs take ``factor`` times as long from now on."""
        self.advance(now_s)
        self.speed /= factor
        for run in self.running.values():
            remaining_s = (run.ends_s - now_s) * factor
            done_s = (now_s - run.began_s) * factor
            run.ends_s = now_s + remaining_s
            run.work_began_s = now_s - done_s

    def percent(self, run, now_s):
        """Return the progress of a run in percent."""
        if run.ends_s == float("inf"):
            return 0
        began_s = run.work_began_s or run.began_s
        return int(100 * (now_s - began_s) / (run.ends_s - began_s))
