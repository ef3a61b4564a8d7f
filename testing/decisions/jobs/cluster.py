"""Simulated cluster: owners, executors and fake endpoints on one clock."""

import collections
import heapq
import itertools
import random

from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import executor
from _jasminewind.decisions.jobs import owner
from _jasminewind.decisions.jobs import registry
from _jasminewind.decisions.jobs import specs
from testing.decisions.jobs import endpoint

LINK_DELAY_S = 0.001
CALL_DELAY_S = 0.0005
ANNOUNCE_PERIOD_S = 1.5
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
    """Return a job of one step, followed by the steps ``after``."""
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
    """A simulated process with an owner or an executor."""

    def __init__(self, name, state_machine, *, incarnation=1):
        self.node = members.NodeId(name, incarnation)
        self.address = members.Address(name, 1)
        self.state_machine = state_machine
        self.is_paused = False
        self.is_dead = False
        self.held = []


class SimulatedCluster:
    """A cluster on a simulated clock, with fault injection.

    ``partitions`` holds pairs of process names (from, to) between which
    messages are lost; :meth:`reset_links` loses those in flight.
    ``start_loss`` is the share of starts whose reply is
    lost; they take effect after ``start_delay_s``, on the life of the endpoint
    that there is then. Lost stops have no effect.
    """

    def __init__(self, *, entries=2, agents=3, seed=0, cores=10.0, speeds=()):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.events = []
        self.sequence = itertools.count()
        self.processes = {}
        self.endpoints = {}
        self.partitions = set()
        # How often the links of a process were reset.
        self.resets = collections.Counter()
        self.answers = {}
        # Called with the job and the answer, or None.
        self.on_answer = None
        self.start_loss = 0.0
        self.renewal_loss = 0.0
        self.stop_loss = 0.0
        self.start_delay_s = 0.0
        self.work_s = {}
        # Racks of the data, by task, and how much longer runs elsewhere take.
        self.data_racks = {}
        self.remote_slowdown = 1.5
        self.placement = "expected_end"
        self.placement_wait = "forecast"
        self.early_moves = True
        self.admission = "forecast"
        for number in range(entries):
            self.add_entry(f"entry-{number}")
        for number in range(agents):
            speed = speeds[number] if number < len(speeds) else 1.0
            self.add_agent(f"agent-{number}", cores=cores, speed=speed)

    # Processes

    def add_entry(self, name, incarnation=1):
        """Start or restart an entry."""
        state_machine = owner.JobOwner.from_policy(
            self.placement,
            rng=self.rng,
            now_s=self.now_s,
            admission_name=self.admission,
            remote_slowdown=self.remote_slowdown,
            placement_wait=self.placement_wait,
        )
        self.add(Process(name, state_machine, incarnation=incarnation))

    def add_agent(self, name, *, cores=10.0, speed=1.0, rack="r1"):
        """Start an endpoint and its agent."""
        fake_endpoint = endpoint.FakeEndpoint(
            f"endpoint-{name}",
            cores=cores,
            speed=speed,
            born_s=self.now_s,
            rack=rack,
        )
        fake_endpoint.peers = list(self.endpoints.values()) + [fake_endpoint]
        self.endpoints[name] = fake_endpoint
        for other in self.endpoints.values():
            other.peers = list(self.endpoints.values())
        self.start_agent(name)

    def start_agent(self, name, incarnation=1):
        """Start or restart the agent process of an endpoint."""
        is_first = name not in self.processes
        state_machine = executor.RunExecutor(
            agent=name, started_s=self.now_s, early_moves=self.early_moves
        )
        state_machine.on_registered(is_first=is_first)
        self.add(Process(name, state_machine, incarnation=incarnation))
        self.at(0.01, lambda: self.announce(name))

    def add(self, process):
        """Add a process to the cluster and start its ticks."""
        self.processes[process.node.name] = process
        for other in self.processes.values():
            if isinstance(other.state_machine, executor.RunExecutor):
                other.state_machine.set_entries(self.entries(), self.instant())
        self.tick(process)

    def entries(self):
        """Return the names and addresses of all entries."""
        return tuple(
            registry.EntryAddress(process.node.name, process.address)
            for process in self.processes.values()
            if isinstance(process.state_machine, owner.JobOwner)
        )

    def kill(self, name):
        """Kill a process; its peers only see missing messages."""
        self.processes[name].is_dead = True

    def pause(self, name, for_s):
        """Pause a process; events that arrive meanwhile are held."""
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
        """Schedule an event."""
        when_s = self.now_s + delay_s
        heapq.heappush(self.events, (when_s, next(self.sequence), event))

    def run(self, for_s):
        """Advance the clock and process all events until then."""
        end_s = self.now_s + for_s
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self.events)
            event()
        self.now_s = end_s

    def instant(self):
        """Return the current instant."""
        return core.Instant(self.now_s, int(self.now_s * 1000))

    def deliver(self, process, event):
        """Deliver an event to a process now, or when it resumes."""
        if process.is_dead:
            return
        if process.is_paused:
            process.held.append(event)
            return
        event()

    def tick(self, process):
        """Tick a process periodically."""

        def event():
            self.perform(
                process, process.state_machine.on_tick(self.instant())
            )

        if process.is_dead:
            return
        if not process.is_paused:
            event()
        self.at(process.state_machine.TICK_S, lambda: self.tick(process))

    # Actions

    def perform(self, process, requested):
        """Execute the actions of a process."""
        for action in requested:
            handler = self.HANDLERS.get(type(action))
            if handler is not None:
                handler(self, process, action)

    def send(self, process, action):
        """Deliver a message, unless it is lost in a partition."""
        name = action.address.host or action.to.name
        target = self.processes.get(name)
        if target is None or (process.node.name, name) in self.partitions:
            return
        if action.to.name and action.to != target.node:
            return

        resets = self.count_resets(process, target)

        def event():
            if resets != self.count_resets(process, target):
                return
            now = self.instant()
            requested = target.state_machine.on_message(
                process.node, action.message, now
            )
            self.perform(target, requested)

        self.at(LINK_DELAY_S, lambda: self.deliver(target, event))

    def count_resets(self, *processes):
        """Return how often the link between two processes was reset."""
        return sum(self.resets[process.node.name] for process in processes)

    def reset_links(self, name):
        """Reset the links of an entry; messages in flight are lost."""
        self.resets[name] += 1
        entry = self.processes[name]
        for other in list(self.processes.values()):
            if isinstance(other.state_machine, executor.RunExecutor):
                self.lose_link(entry, other)
                self.lose_link(other, entry)

    def lose_link(self, process, peer):
        """Tell a process that its link to a peer is lost."""

        def event():
            requested = process.state_machine.on_link_lost(
                peer.node, self.instant()
            )
            self.perform(process, requested)

        self.deliver(process, event)

    def answer(self, process, action):
        """Record the answer to a job."""
        self.answers.setdefault(action.job, []).append(
            (self.now_s, process.node.name, action.answer)
        )
        if self.on_answer is not None:
            self.on_answer(process, action.job, action.answer)

    def fake_endpoint(self, process):
        """Return the endpoint of an agent."""
        return self.endpoints[process.node.name]

    def call_start(self, process, action):
        """Start a run on the endpoint."""
        fake_endpoint = self.fake_endpoint(process)
        key = action.order.key
        work_s = self.work_s.get(key.task, action.order.estimate_s)
        data_rack = self.data_racks.get(key.task)
        if data_rack and data_rack not in fake_endpoint.record.labels:
            work_s *= self.remote_slowdown
        if self.rng.random() < self.start_loss:
            reply = actions.CallReply(outcome=actions.CallOutcome.LOST)

            def start_late():
                found = self.fake_endpoint(process)
                if not found.is_down:
                    found.start(action, self.now_s, work_s)

            self.at(self.start_delay_s, start_late)
            delay_s = CALL_TIMEOUT_S
        elif fake_endpoint.is_down:
            reply = actions.CallReply(outcome=actions.CallOutcome.LOST)
            delay_s = CALL_TIMEOUT_S
        else:
            reply = fake_endpoint.start(action, self.now_s, work_s)
            delay_s = CALL_DELAY_S

        def event():
            requested = process.state_machine.on_start_reply(
                key, reply, self.instant()
            )
            self.perform(process, requested)

        self.at(delay_s, lambda: self.deliver(process, event))

    def call_stop(self, process, action):
        """Stop a run on the endpoint."""
        fake_endpoint = self.fake_endpoint(process)
        reply = actions.CallReply(outcome=actions.CallOutcome.LOST)
        is_lost = self.rng.random() < self.stop_loss
        if not fake_endpoint.is_down and not is_lost:
            reply = fake_endpoint.stop(action, self.now_s)

        def event():
            requested = process.state_machine.on_stop_reply(
                action.key, reply, self.instant()
            )
            self.perform(process, requested)

        self.at(CALL_DELAY_S, lambda: self.deliver(process, event))

    def call_renew(self, process, action):
        """Renew the lease by a long poll."""
        fake_endpoint = self.fake_endpoint(process)
        sent_s = self.now_s
        if not fake_endpoint.is_down:
            fake_endpoint.renew(action, self.now_s, sent_s)
        if self.rng.random() < self.renewal_loss:
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
        """Reply to a renewal when a run ends or the poll times out."""
        fake_endpoint = self.fake_endpoint(process)
        if fake_endpoint.is_down:
            reply = actions.RenewReply(
                outcome=actions.CallOutcome.LOST, sent_s=sent_s
            )
            self.at(
                CALL_TIMEOUT_S,
                lambda: self.renewed(process, action, reply),
            )
            return
        fake_endpoint.advance(self.now_s)
        if self.now_s < until_s and not fake_endpoint.ended:
            self.at(
                0.005,
                lambda: self.wait_for_end(process, action, sent_s, until_s),
            )
            return
        reply = fake_endpoint.renew(action, self.now_s, sent_s)
        self.at(CALL_DELAY_S, lambda: self.renewed(process, action, reply))

    def renewed(self, process, action, reply):
        """Deliver the reply to a renewal."""

        def event():
            requested = process.state_machine.on_renew_reply(
                action, reply, self.instant()
            )
            self.perform(process, requested)

        self.deliver(process, event)

    def next_turn(self, process, action):
        """Tell an entry when a turn begins.

        What has arrived by then, or while it is paused, is handled first.
        """

        def event():
            requested = process.state_machine.on_turn(self.instant())
            self.perform(process, requested)

        self.at(action.delay_s, lambda: self.deliver(process, event))

    HANDLERS = {
        core.Send: send,
        actions.NextTurn: next_turn,
        actions.AnswerJob: answer,
        actions.CallStart: call_start,
        actions.CallStop: call_stop,
        actions.CallRenew: call_renew,
    }

    # Events triggered by tests

    def announce(self, name, *, is_draining=False):
        """Announce the endpoint of an agent, and repeat it."""
        process = self.processes[name]
        fake_endpoint = self.fake_endpoint(process)
        if fake_endpoint.is_down or fake_endpoint.is_leaving:
            return
        self.announce_once(name, is_draining=is_draining)
        if not process.is_dead:
            self.at(ANNOUNCE_PERIOD_S, lambda: self.announce(name))

    def announce_once(self, name, *, is_draining=False):
        """Announce the endpoint of an agent.

        One that drains announces how long it stays at least.
        """
        process = self.processes[name]
        fake_endpoint = self.fake_endpoint(process)
        clock_ms = fake_endpoint.clock_ms(self.now_s)
        remaining_s = fake_endpoint.drain_remaining_s(self.now_s)

        def event():
            requested = process.state_machine.on_announcement(
                fake_endpoint.record,
                clock_ms=clock_ms,
                is_draining=is_draining or remaining_s is not None,
                drain_remaining_s=remaining_s,
                now=self.instant(),
            )
            self.perform(process, requested)

        self.deliver(process, event)

    def drain(self, name, *, announced_s, stays_s):
        """Let an endpoint drain, and end ``stays_s`` later.

        It announces that it stays for ``announced_s`` at least.
        """
        fake_endpoint = self.endpoints[name]
        fake_endpoint.drain_ends_s = self.now_s + announced_s
        self.announce_once(name)
        self.at(stays_s, lambda: self.end_endpoint(fake_endpoint))

    def leave(self, name, *, lingers_s):
        """Let an endpoint say that it leaves, and end ``lingers_s`` later."""
        process = self.processes[name]
        fake_endpoint = self.fake_endpoint(process)

        def event():
            requested = process.state_machine.on_endpoint_left(
                fake_endpoint.record.name, self.instant()
            )
            self.perform(process, requested)

        fake_endpoint.is_leaving = True
        self.deliver(process, event)
        self.at(lingers_s, lambda: self.end_endpoint(fake_endpoint))

    def end_endpoint(self, fake_endpoint):
        """End an endpoint and all that runs on it."""
        fake_endpoint.advance(self.now_s)
        fake_endpoint.is_down = True
        fake_endpoint.running.clear()

    def submit(self, name, spec):
        """Submit a job to an entry."""
        process = self.processes[name]

        def event():
            requested = process.state_machine.submit(spec, self.instant())
            self.perform(process, requested)

        self.deliver(process, event)

    def disconnect(self, name, job_id):
        """Disconnect the caller of a job from an entry."""
        process = self.processes[name]

        def event():
            requested = process.state_machine.on_caller_left(
                job_id, self.instant()
            )
            self.perform(process, requested)

        self.deliver(process, event)

    def cancel(self, name, job_id):
        """Cancel a job at an entry, on behalf of its caller."""
        process = self.processes[name]

        def event():
            requested = process.state_machine.cancel(
                job_id, "cancelled by its caller", self.instant()
            )
            self.perform(process, requested)

        self.deliver(process, event)

    def violations(self):
        """Return the violations that all endpoints recorded."""
        return [text for e in self.endpoints.values() for text in e.violations]

    def states(self):
        """Return the states of the answers to each job, by number."""
        return {
            int(job_id, 16): [answer.state.value for _, _, answer in found]
            for job_id, found in self.answers.items()
        }
