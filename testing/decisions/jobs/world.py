"""Owners, executors and fake endpoints on one simulated clock."""

import heapq
import itertools
import random

from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import executor
from _jasminewind.decisions.jobs import owner
from _jasminewind.decisions.jobs import specs
from testing.decisions.jobs import endpoint

LINK_S = 0.001
CALL_S = 0.0005
ANNOUNCE_S = 1.5
CALL_TIMEOUT_S = 0.08
RENEW_TIMEOUT_S = 0.06

QUEUE = specs.Queue(
    name="quotes",
    host="orders.example",
    prefix="/quotes/",
    service="orders",
    stretch=1.6,
    allowance_s=0.06,
    attempt_limit=2,
)


def job(number, *, count=2, work_s=0.3, cores=3.0, queue=QUEUE, after=()):
    """Return a job; ``after`` adds steps that follow the first."""
    step = specs.Step(
        count=count,
        need=resources.Resources(cores=cores, memory_mb=64.0),
        estimate_s=work_s,
    )
    return specs.JobSpec(
        job=f"{number:016x}",
        queue=queue,
        specification="text",
        steps=(step, *after),
    )


class Process:
    """An owner or an executor, and whether it runs."""

    def __init__(self, name, decision, *, incarnation=1):
        self.node = members.NodeId(name, incarnation)
        self.address = members.Address(name, 1)
        self.decision = decision
        self.is_paused = False
        self.is_dead = False
        self.held = []


class World:
    """A fleet under a test's clock.

    ``cut`` holds pairs of process names between which messages are lost
    (from, to). ``lose_starts`` loses the answers to starts, which then
    take effect after ``late_s``. Stops that are lost have no effect.
    """

    def __init__(self, *, entries=2, agents=3, seed=0, cores=10.0, speeds=()):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.events = []
        self.sequence = itertools.count()
        self.processes = {}
        self.endpoints = {}
        self.cut = set()
        self.answers = {}
        self.lose_starts = 0.0
        self.lose_renewals = 0.0
        self.lose_stops = 0.0
        self.late_s = 0.0
        self.work_s = {}
        self.placement = "expected_end"
        for number in range(entries):
            self.add_entry(f"entry-{number}")
        for number in range(agents):
            speed = speeds[number] if number < len(speeds) else 1.0
            self.add_agent(f"agent-{number}", cores=cores, speed=speed)

    # Processes

    def add_entry(self, name, incarnation=1):
        """Start an entry, possibly again."""
        decision = owner.JobOwner.from_policy(
            self.placement, rng=self.rng, now_s=self.now_s
        )
        self.add(Process(name, decision, incarnation=incarnation))

    def add_agent(self, name, *, cores=10.0, speed=1.0):
        """Start an agent with an endpoint of its own."""
        beside = endpoint.FakeEndpoint(
            f"endpoint-{name}", cores=cores, speed=speed, born_s=self.now_s
        )
        beside.peers = list(self.endpoints.values()) + [beside]
        self.endpoints[name] = beside
        for other in self.endpoints.values():
            other.peers = list(self.endpoints.values())
        self.start_agent(name)

    def start_agent(self, name, incarnation=1):
        """Start the process of an agent beside its endpoint."""
        self.add(
            Process(name, executor.RunExecutor(), incarnation=incarnation)
        )
        self.at(0.01, lambda: self.announce(name))

    def add(self, process):
        """Run a process."""
        self.processes[process.node.name] = process
        for other in self.processes.values():
            if isinstance(other.decision, executor.RunExecutor):
                other.decision.set_entries(self.entries())
        self.tick(process)

    def entries(self):
        """Return the addresses of all entries."""
        return tuple(
            process.address
            for process in self.processes.values()
            if isinstance(process.decision, owner.JobOwner)
        )

    def kill(self, name):
        """End a process; its peers notice by silence."""
        self.processes[name].is_dead = True

    def pause(self, name, for_s):
        """Let a process stand still; what arrives meanwhile waits."""
        process = self.processes[name]
        process.is_paused = True

        def resume():
            process.is_paused = False
            held, process.held = process.held, []
            for event in held:
                event()

        self.at(for_s, resume)

    # Time

    def at(self, delay_s, event):
        """Plan an event."""
        when_s = self.now_s + delay_s
        heapq.heappush(self.events, (when_s, next(self.sequence), event))

    def run(self, for_s):
        """Let time pass."""
        end_s = self.now_s + for_s
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self.events)
            event()
        self.now_s = end_s

    def instant(self):
        """Return the current instant."""
        return core.Instant(self.now_s, int(self.now_s * 1000))

    def deliver(self, process, event):
        """Let a process take an event, now or when it resumes."""
        if process.is_dead:
            return
        if process.is_paused:
            process.held.append(event)
            return
        event()

    def tick(self, process):
        """Drive a process with time."""

        def event():
            self.perform(process, process.decision.on_tick(self.instant()))

        if process.is_dead:
            return
        if not process.is_paused:
            event()
        self.at(process.decision.TICK_S, lambda: self.tick(process))

    # Actions

    def perform(self, process, asked):
        """Carry out actions of a process."""
        for action in asked:
            handler = self.HANDLERS.get(type(action))
            if handler is not None:
                handler(self, process, action)

    def send(self, process, action):
        """Deliver a message, unless the path is cut."""
        name = action.address.host or action.to.name
        target = self.processes.get(name)
        if target is None or (process.node.name, name) in self.cut:
            return
        if action.to.name and action.to != target.node:
            return

        def event():
            now = self.instant()
            asked = target.decision.on_message(
                process.node, action.message, now
            )
            self.perform(target, asked)

        self.at(LINK_S, lambda: self.deliver(target, event))

    def answer(self, process, action):
        """Keep the answer to a job."""
        self.answers.setdefault(action.job, []).append(
            (self.now_s, process.node.name, action.answer)
        )

    def beside(self, process):
        """Return the endpoint beside an agent."""
        return self.endpoints[process.node.name]

    def call_start(self, process, action):
        """Start a run on the endpoint."""
        beside = self.beside(process)
        key = action.order.key
        work_s = self.work_s.get(key.task, action.order.estimate_s)
        if self.rng.random() < self.lose_starts:
            reply = actions.CallReply(outcome=actions.CallOutcome.LOST)
            self.at(
                self.late_s,
                lambda: beside.start(action, self.now_s, work_s),
            )
            delay_s = CALL_TIMEOUT_S
        elif beside.is_down:
            reply = actions.CallReply(outcome=actions.CallOutcome.LOST)
            delay_s = CALL_TIMEOUT_S
        else:
            reply = beside.start(action, self.now_s, work_s)
            delay_s = CALL_S

        def event():
            asked = process.decision.on_start_reply(key, reply, self.instant())
            self.perform(process, asked)

        self.at(delay_s, lambda: self.deliver(process, event))

    def call_stop(self, process, action):
        """Stop a run on the endpoint."""
        beside = self.beside(process)
        reply = actions.CallReply(outcome=actions.CallOutcome.LOST)
        is_lost = self.rng.random() < self.lose_stops
        if not beside.is_down and not is_lost:
            reply = beside.stop(action, self.now_s)

        def event():
            asked = process.decision.on_stop_reply(
                action.key, reply, self.instant()
            )
            self.perform(process, asked)

        self.at(CALL_S, lambda: self.deliver(process, event))

    def call_renew(self, process, action):
        """Renew the lease; the answer waits for an end."""
        beside = self.beside(process)
        sent_s = self.now_s
        if not beside.is_down:
            beside.renew(action, self.now_s, sent_s)
        if self.rng.random() < self.lose_renewals:
            reply = actions.RenewReply(
                outcome=actions.CallOutcome.LOST, sent_s=sent_s
            )
            self.at(
                action.wait_s + RENEW_TIMEOUT_S,
                lambda: self.renewed(process, action, reply),
            )
            return
        self.wait_for_end(process, action, sent_s, sent_s + action.wait_s)

    def wait_for_end(self, process, action, sent_s, until_s):
        """Answer a renewal once something ends or its time is up."""
        beside = self.beside(process)
        if beside.is_down:
            reply = actions.RenewReply(
                outcome=actions.CallOutcome.LOST, sent_s=sent_s
            )
            self.at(
                CALL_TIMEOUT_S,
                lambda: self.renewed(process, action, reply),
            )
            return
        beside.advance(self.now_s)
        if self.now_s < until_s and not beside.ended:
            self.at(
                0.005,
                lambda: self.wait_for_end(process, action, sent_s, until_s),
            )
            return
        reply = beside.renew(action, self.now_s, sent_s)
        self.at(CALL_S, lambda: self.renewed(process, action, reply))

    def renewed(self, process, action, reply):
        """Give a process the answer to a renewal."""

        def event():
            asked = process.decision.on_renew_reply(
                action, reply, self.instant()
            )
            self.perform(process, asked)

        self.deliver(process, event)

    HANDLERS = {
        core.Send: send,
        actions.AnswerJob: answer,
        actions.CallStart: call_start,
        actions.CallStop: call_stop,
        actions.CallRenew: call_renew,
    }

    # What tests do

    def announce(self, name, *, is_draining=False):
        """Let the endpoint beside an agent announce itself."""
        process = self.processes[name]
        beside = self.beside(process)
        if beside.is_down:
            return

        def event():
            asked = process.decision.on_announcement(
                beside.record,
                clock_ms=beside.clock_ms(self.now_s),
                is_draining=is_draining,
                now=self.instant(),
            )
            self.perform(process, asked)

        self.deliver(process, event)
        if not process.is_dead:
            self.at(ANNOUNCE_S, lambda: self.announce(name))

    def submit(self, name, spec):
        """Submit a job to an entry."""
        process = self.processes[name]

        def event():
            asked = process.decision.submit(spec, self.instant())
            self.perform(process, asked)

        self.deliver(process, event)

    def cancel(self, name, job_id):
        """Cancel a job at an entry, as when its caller goes away."""
        process = self.processes[name]

        def event():
            asked = process.decision.cancel(
                job_id, "its caller left", self.instant()
            )
            self.perform(process, asked)

        self.deliver(process, event)

    def violations(self):
        """Return everything that must never have happened."""
        return [text for e in self.endpoints.values() for text in e.violations]

    def states(self):
        """Return the state of each answered job, by number."""
        return {
            int(job_id, 16): [answer.state.value for _, _, answer in found]
            for job_id, found in self.answers.items()
        }
