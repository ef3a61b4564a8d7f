"""Assigns queued tasks to agents with free capacity."""

import collections
import dataclasses
import typing

from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import agent_directory
from _jasminewind.decisions.jobs import agents
from _jasminewind.decisions.jobs import backlog
from _jasminewind.decisions.jobs import local_waits
from _jasminewind.decisions.jobs import placement
from _jasminewind.decisions.jobs import run_times
from _jasminewind.decisions.jobs import tracking
from _jasminewind.decisions.jobs import waiting_tasks

# Queued tasks that a pass skips because no agent has capacity for them now,
# so that smaller tasks behind them can start.
MAX_SKIPPED_TASKS = 16
# Tasks that one pass assigns. The next pass, after the next message or tick,
# goes on, so that a job of thousands of tasks does not delay heartbeats.
MAX_ASSIGNMENTS = 200
# Queued work of this duration is an overload, in which no task waits for
# local capacity. Less is a burst: with a limit of 0 the mean value of the
# jobs of a hot rack was lower by 0.02 at a utilization of 0.6.
OVERLOAD_WAIT_S = 0.5
# Tasks that a pass passes over under overload to find one near its data.
MAX_DEFERRED_TASKS = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Assignment:
    """An agent chosen for a task among ``candidate_count`` agents."""

    task: tracking.Task
    agent: agents.Agent
    candidate_count: int


class Scheduler:
    """Queues tasks and assigns them in passes over the agents.

    After a pass, no examined agent has capacity for a queued task. So a pass
    examines all agents only if a task was queued since the last one, and
    otherwise those that may have gained capacity.

    A task that waits for capacity near its data is not queued. It is queued
    again when an agent there has gained capacity, or when its wait ends.
    """

    def __init__(
        self,
        *,
        policy: placement.Placement,
        directory: agent_directory.AgentDirectory,
        placement_wait: str = local_waits.NeverWait.name,
    ) -> None:
        """Wait for local capacity by the policy ``placement_wait``."""
        self.policy = policy
        self.directory = directory
        self.waits = local_waits.from_name(
            placement_wait, run_times=policy.run_times, directory=directory
        )
        self.backlog = backlog.Backlog()
        self.waiting = waiting_tasks.WaitingTasks()
        # Waits that ended since this was last taken.
        self.ended_waits: list[waiting_tasks.EndedWait] = []
        self.has_new_tasks = False
        # Whether tasks were left for which no agent had capacity.
        self.is_short = False

    def enqueue(self, task: tracking.Task, now_s: float) -> None:
        """Queue a task."""
        self.backlog.push(task, now_s)
        self.has_new_tasks = True

    def remove(self, task: tracking.Task, now_s: float) -> None:
        """Remove a task that no longer needs a run."""
        if self.waiting.holds(task):
            self.waiting.remove(task)
        self.backlog.remove(task)
        if task.wait is not None and not task.has_waited:
            self.end_wait(task, waiting_tasks.WaitOutcome.ANSWERED, now_s)

    def queued_core_s(self) -> float:
        """Return the work that is queued or waits for local capacity."""
        return self.backlog.core_s + self.waiting.core_s

    def queued_count(self) -> int:
        """Return how many tasks are queued or wait for local capacity."""
        return self.backlog.size + self.waiting.size

    def examine_all(self) -> None:
        """Make the next pass examine every agent.

        Ejections and trial runs end without a message of the agent.
        """
        self.has_new_tasks = True

    def is_due(self, now_s: float) -> bool:
        """Tell whether a pass may find an agent for a task."""
        if not self.backlog.size and not self.waiting.size:
            self.has_new_tasks = False
            self.is_short = False
            self.directory.gained.clear()
            return False
        return (
            self.has_new_tasks
            or bool(self.directory.gained)
            or self.waiting.has_expired(now_s)
        )

    def next_assignment(self, scan: "Scan") -> Assignment | None:
        """Return the next assignment of a pass, ``None`` at its end.

        The caller reserves the capacity of each before it asks for the next.
        """
        while scan.assignments < MAX_ASSIGNMENTS:
            task = self.next_task(scan)
            if task is None:
                self.end_pass(scan)
                return None
            candidates = scan.candidates(task)
            if not candidates:
                scan.skipped.append(task)
                continue
            scan.assignments += 1
            preferred = placement.prefer_untried(task, candidates)
            if self.is_put_off(task, preferred, scan):
                continue
            agent = self.policy.choose(task, preferred, scan.now_s)
            self.observe_assignment(task, agent, scan.now_s)
            return Assignment(
                task=task, agent=agent, candidate_count=len(candidates)
            )
        self.end_pass(scan)
        self.has_new_tasks = True
        return None

    def next_task(self, scan: "Scan") -> tracking.Task | None:
        """Return the next task to try in a pass, ``None`` at its end."""
        if len(scan.skipped) >= MAX_SKIPPED_TASKS:
            return None
        if scan.is_starting_deferred and scan.deferred:
            return scan.deferred.popleft()
        scan.is_starting_deferred = False
        if len(scan.deferred) < MAX_DEFERRED_TASKS:
            task = self.backlog.pop(scan.now_s)
            if task is not None:
                return task
        scan.is_starting_deferred = bool(scan.deferred)
        return scan.deferred.popleft() if scan.deferred else None

    def end_pass(self, scan: "Scan") -> None:
        """Queue the tasks again that a pass has skipped."""
        for task in (*scan.skipped, *scan.deferred):
            self.backlog.push(task, scan.now_s)
        self.is_short = any(self.is_short_for(task) for task in scan.skipped)

    def is_short_for(self, task: tracking.Task) -> bool:
        """Tell whether a task without capacity shows an overload."""
        service = task.job.spec.queue.service
        share = self.directory.capacity(service).share
        return (
            backlog.is_unconstrained(task)
            and self.backlog.core_s > OVERLOAD_WAIT_S * share
        )

    def begin_pass(self, now: core.Instant) -> "Scan":
        """Begin a pass over the agents that need to be examined."""
        now_s = now.mono_s
        self.waits.begin_pass(now_s)
        self.queue_expired(now_s)
        self.queue_local(self.directory.gained.values(), now_s)
        if self.has_new_tasks:
            usable = self.directory.usable(now_s)
            self.directory.gained.clear()
        else:
            usable = self.directory.take_gained(now_s)
        self.has_new_tasks = False
        return Scan(now_s=now_s, usable=usable)

    # Waits for capacity near the data

    def is_put_off(
        self,
        task: tracking.Task,
        candidates: list[agents.Agent],
        scan: "Scan",
    ) -> bool:
        """Tell whether a task that could start elsewhere does not do so now.

        Under overload no capacity is kept free, but the tasks near their data
        among the next ones start first, as others use it for longer.
        """
        rack = task.step_spec.data_rack
        if not rack or scan.is_starting_deferred:
            return False
        if any(run_times.is_near_data(task.step_spec, a) for a in candidates):
            return False
        now_s = scan.now_s
        if self.is_overloaded():
            if not self.waits.defers_when_short:
                return False
            scan.deferred.append(task)
            return True
        wait = task.wait
        if task.has_waited or task.failures:
            return False
        if wait is not None and now_s >= wait.until_s:
            return False
        if wait is None:
            choice = local_waits.Choice(
                task=task, remote=candidates, now_s=now_s
            )
            wait = self.waits.decide(choice, self.waiting.waiting_for(rack))
        if wait is None:
            return False
        self.waiting.add(task, wait)
        return True

    def is_overloaded(self) -> bool:
        """Tell whether capacity is too short to wait for."""
        return self.is_short and not self.waits.waits_when_short

    def queue_expired(self, now_s: float) -> None:
        """Queue the tasks whose wait has reached its limit."""
        for task in self.waiting.take_expired(now_s):
            self.end_wait(task, waiting_tasks.WaitOutcome.EXPIRED, now_s)
            self.enqueue(task, now_s)

    def queue_local(
        self, gained: typing.Iterable[agents.Agent], now_s: float
    ) -> list[tracking.Task]:
        """Queue waiting tasks that fit into local capacity now."""
        found: list[tracking.Task] = []
        if self.waiting.size:
            for agent in gained:
                if agent.is_usable(now_s):
                    found += self.waiting.take_fitting(agent, agent.free)
        for task in found:
            self.backlog.push(task, now_s)
        return found

    def review_waits(self, now_s: float) -> None:
        """End the waits that are no longer expected to pay off.

        An agent may become usable or unusable without a message.
        """
        for rack in list(self.waiting.by_rack):
            forecast = self.waits.forecast(rack, now_s)
            if forecast is not None:
                usable = forecast.agents.values()
                for task in self.queue_local(usable, now_s):
                    forecast.reserve_for(task)
            for task in list(self.waiting.waiting_for(rack)):
                outcome = None
                if forecast is None:
                    outcome = waiting_tasks.WaitOutcome.UNUSABLE
                elif self.is_overloaded():
                    outcome = waiting_tasks.WaitOutcome.OVERLOAD
                elif task.wait is not None and not self.waits.is_worthwhile(
                    task, task.wait, forecast, now_s
                ):
                    outcome = waiting_tasks.WaitOutcome.HOPELESS
                if outcome is not None:
                    self.waiting.remove(task)
                    self.end_wait(task, outcome, now_s)
                    self.enqueue(task, now_s)

    def observe_assignment(
        self, task: tracking.Task, agent: agents.Agent, now_s: float
    ) -> None:
        """Record the start of a task, and the end of its wait."""
        expected_s = self.policy.run_times.expected_s(task, agent)
        self.waits.observe_start(expected_s)
        if task.wait is None or task.has_waited:
            return
        outcome = waiting_tasks.WaitOutcome.REMOTE
        if run_times.is_near_data(task.step_spec, agent):
            outcome = waiting_tasks.WaitOutcome.LOCAL
        self.end_wait(task, outcome, now_s)

    def end_wait(
        self,
        task: tracking.Task,
        outcome: waiting_tasks.WaitOutcome,
        now_s: float,
    ) -> None:
        """Record the end of a wait; the task does not wait again."""
        wait = task.wait
        assert wait is not None
        task.has_waited = True
        ended = waiting_tasks.EndedWait(
            task=task,
            wait=wait,
            waited_s=now_s - wait.began_s,
            outcome=outcome,
        )
        self.ended_waits.append(ended)
        if outcome is not waiting_tasks.WaitOutcome.ANSWERED:
            is_local = outcome is waiting_tasks.WaitOutcome.LOCAL
            self.waits.observe_end(wait, now_s, is_local=is_local)

    def take_ended_waits(self) -> list[waiting_tasks.EndedWait]:
        """Return the waits that have ended, and forget them."""
        ended, self.ended_waits = self.ended_waits, []
        return ended


@dataclasses.dataclass
class Scan:
    """The agents that one pass examines, and the tasks that it skipped."""

    now_s: float
    usable: list[agents.Agent]
    assignments: int = 0
    # Tasks that start elsewhere if no other task is near its data.
    deferred: collections.deque[tracking.Task] = dataclasses.field(
        default_factory=collections.deque
    )
    is_starting_deferred: bool = False
    skipped: list[tracking.Task] = dataclasses.field(default_factory=list)

    def candidates(self, task: tracking.Task) -> list[agents.Agent]:
        """Return the agents with capacity for a task.

        There is none for a task that needs as much as a skipped one.
        """
        if not self.usable:
            return []
        if any(placement.needs_at_most(t, task) for t in self.skipped):
            return []
        return placement.candidates(task, self.usable)
