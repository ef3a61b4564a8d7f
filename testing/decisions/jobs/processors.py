"""Simulated entries that share a slow processor between their events."""

import collections
import dataclasses

from _jasminewind.decisions.jobs import intake
from testing.decisions.jobs import cluster as clusters


@dataclasses.dataclass(frozen=True, kw_only=True)
class Costs:
    """Processor time of an entry's work, in seconds of a whole processor.

    A submission takes ``receive_s`` to be received, and ``submission_s`` if
    it is examined.
    """

    message_s: float = 0.00008
    send_s: float = 0.00004
    receive_s: float = 0.0002
    submission_s: float = 0.0005


class Processor:
    """Handles the events of one process in turns, like a reactor.

    A turn handles a due tick, then submissions, and then all events that
    have arrived before it. ``share`` is the share of a whole processor that
    the process has.
    """

    def __init__(self, cluster, process, *, share):
        self.cluster = cluster
        self.process = process
        self.share = share
        self.arrived = collections.deque()
        self.intake = intake.Intake()
        self.next_tick_s = cluster.now_s
        self.turn_began_s = 0.0
        self.is_busy = False
        self.spent_s = 0.0

    def deliver(self, event):
        """Handle an event in the next turn."""
        self.arrived.append(event)
        self.wake()

    def wake(self):
        """Begin a turn, unless one is in progress."""
        if not self.is_busy and not self.process.is_dead:
            self.is_busy = True
            self.turn()

    def turn(self):
        """Handle a due tick, submissions, and the events that arrived."""
        now_s = self.turn_began_s = self.cluster.now_s
        if now_s >= self.next_tick_s:
            machine = self.process.state_machine
            self.next_tick_s = now_s + machine.TICK_S
            self.cluster.at(machine.TICK_S, self.wake)
            self.cluster.perform(
                self.process, machine.on_tick(self.cluster.instant())
            )
        self.intake.take_expired(now_s)
        self.then(self.examine)

    def then(self, step):
        """Take the next step once the time of the last one has passed."""
        passed_s, self.spent_s = self.spent_s / self.share, 0.0
        if passed_s:
            self.cluster.at(passed_s, step)
        else:
            step()

    def examine(self):
        """Examine submissions for the time allowed in a turn."""
        now_s = self.cluster.now_s
        spec = None
        if now_s - self.turn_began_s < intake.TURN_S:
            spec = self.intake.take(now_s)
        if spec is None:
            events, self.arrived = self.arrived, collections.deque()
            self.handle(events)
            return
        self.cluster.examine(self.process, spec)
        self.then(self.examine)

    def handle(self, events):
        """Handle one event after the other, each in the time it costs."""
        if events:
            events.popleft()()
            self.then(lambda: self.handle(events))
        elif (
            self.arrived
            or self.intake.waiting
            or self.cluster.now_s >= self.next_tick_s
        ):
            self.turn()
        else:
            self.is_busy = False


class ShortCluster(clusters.SimulatedCluster):
    """A cluster whose entries have a share of a processor each."""

    def __init__(self, *, share, costs=Costs(), **options):
        self.share = share
        self.costs = costs
        self.processors = {}
        super().__init__(**options)

    def add_entry(self, name, incarnation=1):
        """Start an entry with a processor of its own."""
        super().add_entry(name, incarnation)
        processor = Processor(self, self.processes[name], share=self.share)
        self.processors[name] = processor
        processor.wake()

    def tick(self, process):
        """Tick agents; the processors of entries tick these."""
        if process.node.name.startswith("agent"):
            super().tick(process)

    def spend(self, process, cost_s):
        """Charge processor time to a process that has a processor."""
        processor = self.processors.get(process.node.name)
        if processor is not None:
            processor.spent_s += cost_s

    def deliver(self, process, event):
        """Deliver an event, through the processor if there is one."""
        processor = self.processors.get(process.node.name)
        if processor is None:
            super().deliver(process, event)
            return

        def handle():
            self.spend(process, self.costs.message_s)
            event()

        processor.deliver(handle)

    def perform(self, process, requested):
        """Execute the actions of a process."""
        self.spend(process, self.costs.send_s * len(requested))
        super().perform(process, requested)

    def submit(self, name, spec):
        """Submit a job, which the entry receives and examines later."""
        process = self.processes[name]
        processor = self.processors[name]

        def receive():
            self.spend(process, self.costs.receive_s)
            processor.intake.add(spec, self.now_s)

        processor.deliver(receive)

    def examine(self, process, spec):
        """Let an entry examine a submission."""
        self.spend(process, self.costs.submission_s)
        self.perform(
            process, process.state_machine.submit(spec, self.instant())
        )
