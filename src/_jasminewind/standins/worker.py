"""Simulated worker: leases, overcommitment and delayed usage reports."""

import collections
import dataclasses
import typing

import msgspec
from twisted.internet import defer
from twisted.web import server

from _jasminewind import announcements
from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions import core
from _jasminewind.messages import tasks
from _jasminewind.platform import protocol
from _jasminewind.standins import payloads
from _jasminewind.standins import server as standin_server

THROTTLED_SPEED_FACTOR = 0.25
USAGE_PERIOD_S = 0.5
USAGE_LAG_S = 1.0
MAX_USAGE_SAMPLES = 100
# A holder that does not poll for this long loses its lease on the worker,
# and its tasks are stopped.
HOLDER_LEASE_S = 30.0
MAX_LEASES = 200_000
COMPLETION_TOLERANCE_S = 1e-9


@dataclasses.dataclass
class RunningTask:
    """A running task; ``remaining_s`` is its remaining time at speed 1."""

    key: tasks.TaskKey
    payload: str
    simulation: payloads.Simulation
    cores: float
    memory_mb: float
    remaining_s: float
    started_s: float
    position: int
    is_throttled: bool = False
    checkpoints: int = 0

    def speed_factor(self) -> float:
        """Return the share of full speed at which the task runs."""
        return THROTTLED_SPEED_FACTOR if self.is_throttled else 1.0


class WorkerStandIn(standin_server.StandIn):
    """Starts every task it gets, without admission control.

    If the tasks use more cores than the capacity, all of them slow down. If
    a new task makes them exceed the memory, it is killed.
    """

    def __init__(
        self,
        *,
        reactor: typing.Any,
        name: str,
        port: int = 0,
        control_port: int = 0,
        capacity: resources.Resources,
        speed: float = 1.0,
        can_checkpoint: bool = True,
        usage_lag_s: float = USAGE_LAG_S,
        holder_lease_s: float = HOLDER_LEASE_S,
    ) -> None:
        super().__init__(
            reactor=reactor, name=name, port=port, control_port=control_port
        )
        self.capacity = capacity
        self.speed = speed
        self.can_checkpoint = can_checkpoint
        self.usage_lag_s = usage_lag_s
        self.holder_lease_s = holder_lease_s
        self.instance = f"{name}@{reactor.seconds()}"
        self.generation = 0
        self.holder = ""
        self.holder_seen_s = 0.0
        self.runs: list[RunningTask] = []
        self.leases: collections.OrderedDict[str, None]
        self.leases = collections.OrderedDict()
        self.events: collections.deque[protocol.EndEvent]
        self.events = collections.deque()
        self.sequence = 0
        self.updated_s = reactor.seconds()
        self.end_timer: typing.Any = None
        self.pending_polls: list[defer.Deferred[None]] = []
        self.usage: collections.deque[tuple[float, tuple[tasks.Usage, ...]]]
        self.usage = collections.deque(maxlen=MAX_USAGE_SAMPLES)
        self.usage_timer: typing.Any = None
        self.routes = {
            protocol.HEALTH_PATH: self.health,
            protocol.ATTACH_PATH: self.attach,
            protocol.START_PATH: self.start,
            protocol.LEASES_PATH: self.read_leases,
            protocol.EVENTS_PATH: self.poll,
            protocol.ORDER_PATH: self.order,
            protocol.DETACH_PATH: self.detach,
        }

    def open(self) -> None:
        """Open the ports and start to sample usage."""
        super().open()
        self.sample_usage()

    async def close(self) -> None:
        """Stop the timers, answer the polls and close the ports."""
        for timer in (self.usage_timer, self.end_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self.wake()
        await super().close()

    def announcement(self) -> announcements.Announcement:
        """Return the announcement for the agent."""
        return announcements.Announcement(
            name=self.name,
            kind=members.EndpointKind.WORKER,
            port=self.port,
            capacity=self.capacity,
        )

    def is_busy(self) -> bool:
        """Tell whether a task is running."""
        return bool(self.runs)

    # Calls.

    async def health(
        self, body: bytes, request: server.Request
    ) -> standin_server.Reply:
        """Answer a health check."""
        del body, request
        return standin_server.Reply()

    async def attach(
        self, body: bytes, request: server.Request
    ) -> standin_server.Reply:
        """Accept a holder unless its generation is older than the current."""
        del request
        call = msgspec.json.decode(body, type=protocol.Attach)
        if call.generation < self.generation:
            return self.stale_generation(call.generation)
        self.generation = call.generation
        self.holder = call.holder
        self.holder_seen_s = self.reactor.seconds()
        self.wake()
        return standin_server.Reply(
            body=protocol.Attached(
                instance=self.instance,
                sequence=self.sequence,
                running=tuple(run.key for run in self.runs),
            )
        )

    async def start(
        self, body: bytes, request: server.Request
    ) -> standin_server.Reply:
        """Start every task of a batch without deduplication."""
        del request
        call = msgspec.json.decode(body, type=protocol.StartLeases)
        if not self.is_held_by(call.generation):
            return self.stale_generation(call.generation)
        for lease in call.starts:
            self.start_task(lease)
        return standin_server.Reply()

    async def fail(
        self, path: str, body: bytes, request: server.Request
    ) -> standin_server.Reply:
        """Handle the call; after a start, fail all running tasks at once."""
        reply = await self.handle(path, body, request)
        if path == protocol.START_PATH:
            for run in list(self.runs):
                self.finish_run(
                    run, error="the fault 'fail' is active on the worker"
                )
        return reply

    async def read_leases(
        self, body: bytes, request: server.Request
    ) -> standin_server.Reply:
        """Return which of the lease ids were granted."""
        del request
        call = msgspec.json.decode(body, type=protocol.ReadLeases)
        granted = tuple(item for item in call.lease_ids if item in self.leases)
        return standin_server.Reply(
            body=protocol.Leases(instance=self.instance, lease_ids=granted)
        )

    async def poll(
        self, body: bytes, request: server.Request
    ) -> standin_server.Reply:
        """Return events after the given sequence number, as a long poll."""
        del request
        call = msgspec.json.decode(body, type=protocol.PollEvents)
        if not self.is_held_by(call.generation):
            return self.stale_generation(call.generation)
        while self.events and self.events[0].sequence <= call.after:
            self.events.popleft()
        if not self.events:
            await self.wait_for_events(call.wait_s)
        if call.generation < self.generation:
            return self.stale_generation(call.generation)
        self.holder_seen_s = self.reactor.seconds()
        return standin_server.Reply(
            body=protocol.Events(
                instance=self.instance,
                ends=tuple(
                    event
                    for event in self.events
                    if event.sequence > call.after
                ),
                usage=self.due_usage(),
            )
        )

    async def order(
        self, body: bytes, request: server.Request
    ) -> standin_server.Reply:
        """Stop, throttle, unthrottle or checkpoint a task."""
        del request
        call = msgspec.json.decode(body, type=protocol.Order)
        if not self.is_held_by(call.generation):
            return self.stale_generation(call.generation)
        self.advance()
        for run in [run for run in self.runs if run.key == call.key]:
            match call.order:
                case core.TaskCommand.STOP:
                    self.finish_run(
                        run, error="stopped on request of the holder"
                    )
                case core.TaskCommand.THROTTLE:
                    run.is_throttled = True
                case core.TaskCommand.UNTHROTTLE:
                    run.is_throttled = False
                case core.TaskCommand.CHECKPOINT:
                    if not self.can_checkpoint:
                        return standin_server.not_run_reply(
                            "this worker cannot checkpoint",
                            status=protocol.NOT_IMPLEMENTED,
                        )
                    run.checkpoints += 1
        self.schedule_next_end()
        return standin_server.Reply()

    async def detach(
        self, body: bytes, request: server.Request
    ) -> standin_server.Reply:
        """Release the holder's lease on the worker."""
        del request
        call = msgspec.json.decode(body, type=protocol.Detach)
        if call.generation == self.generation:
            self.holder = ""
            self.wake()
        return standin_server.Reply()

    def is_held_by(self, generation: int) -> bool:
        """Tell whether ``generation`` is that of the current holder."""
        return bool(self.holder) and generation == self.generation

    def stale_generation(self, generation: int) -> standin_server.Reply:
        """Reject a call whose generation (fencing token) is stale."""
        return standin_server.not_run_reply(
            f"generation {generation} does not hold this worker; its current "
            f"generation is {self.generation}",
            status=protocol.CONFLICT,
            generation=self.generation,
        )

    # Tasks.

    def start_task(self, lease: protocol.LeaseStart) -> None:
        """Start one task."""
        self.advance()
        self.leases[lease.lease_id] = None
        while len(self.leases) > MAX_LEASES:
            self.leases.popitem(last=False)
        simulation = payloads.decode(lease.payload)
        cores = simulation.cores
        memory_mb = simulation.memory_mb
        run = RunningTask(
            key=lease.key,
            payload=lease.payload,
            simulation=simulation,
            cores=lease.demand.cores if cores is None else cores,
            memory_mb=(
                lease.demand.memory_mb if memory_mb is None else memory_mb
            ),
            remaining_s=simulation.run_s,
            started_s=self.reactor.seconds(),
            position=self.starts.begin(lease.key),
        )
        self.runs.append(run)
        used_mb = sum(other.memory_mb for other in self.runs)
        if used_mb > self.capacity.memory_mb > 0:
            self.finish_run(run, error="killed: the worker ran out of memory")
        self.schedule_next_end()

    def advance(self) -> None:
        """Reduce the remaining times by the progress since the last call."""
        now_s = self.reactor.seconds()
        passed_s = now_s - self.updated_s
        self.updated_s = now_s
        if not self.runs:
            return
        unthrottled_speed = self.unthrottled_speed()
        for run in self.runs:
            run.remaining_s -= (
                passed_s * unthrottled_speed * run.speed_factor()
            )

    def unthrottled_speed(self) -> float:
        """Return the speed of tasks that are not throttled."""
        used_cores = sum(run.cores * run.speed_factor() for run in self.runs)
        if used_cores > self.capacity.cores > 0:
            return self.speed * self.capacity.cores / used_cores
        return self.speed

    def schedule_next_end(self) -> None:
        """Reset the timer for the next task that ends."""
        if self.end_timer is not None and self.end_timer.active():
            self.end_timer.cancel()
        self.end_timer = None
        if not self.runs:
            return
        unthrottled_speed = self.unthrottled_speed()
        delays_s = [
            run.remaining_s / (unthrottled_speed * run.speed_factor())
            for run in self.runs
        ]
        self.end_timer = self.reactor.callLater(
            max(0.0, min(delays_s)), self.finish_due_tasks
        )

    def finish_due_tasks(self) -> None:
        """End all tasks without remaining time."""
        self.advance()
        for run in [
            run
            for run in self.runs
            if run.remaining_s <= COMPLETION_TOLERANCE_S
        ]:
            error = "the task failed" if run.simulation.fail else ""
            self.finish_run(run, error=error)
        self.schedule_next_end()

    def finish_run(self, run: RunningTask, *, error: str) -> None:
        """Record the end of a task and answer the pending polls."""
        self.runs.remove(run)
        self.starts.end(run.position)
        self.sequence += 1
        payload = "" if error else payloads.output(self.name, run.payload)
        self.events.append(
            protocol.EndEvent(
                sequence=self.sequence,
                key=run.key,
                run_s=self.reactor.seconds() - run.started_s,
                payload=payload,
                error=error,
            )
        )
        self.wake()

    # Long polls and usage.

    def wait_for_events(self, wait_s: float) -> defer.Deferred[None]:
        """Return a Deferred that fires on an event or after ``wait_s``."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self.pending_polls.append(waiter)
        timeout = self.reactor.callLater(wait_s, self.resume_poll, waiter)

        def stop_timer(value: None) -> None:
            if timeout.active():
                timeout.cancel()

        waiter.addCallback(stop_timer)
        return waiter

    def resume_poll(self, waiter: defer.Deferred[None]) -> None:
        """Let one pending poll respond."""
        if waiter in self.pending_polls:
            self.pending_polls.remove(waiter)
            waiter.callback(None)

    def wake(self) -> None:
        """Let all pending polls respond."""
        for waiter in list(self.pending_polls):
            self.resume_poll(waiter)

    def sample_usage(self) -> None:
        """Sample usage, which polls report after ``usage_lag_s``."""
        now_s = self.reactor.seconds()
        sample = tuple(
            tasks.Usage(
                key=run.key,
                cores=run.cores * run.speed_factor(),
                memory_mb=run.memory_mb,
            )
            for run in self.runs
        )
        self.usage.append((now_s + self.usage_lag_s, sample))
        if self.holder and now_s - self.holder_seen_s > self.holder_lease_s:
            self.expire_holder()
        if self.runs and self.usage[0][0] <= now_s:
            self.wake()
        self.usage_timer = self.reactor.callLater(
            USAGE_PERIOD_S, self.sample_usage
        )

    def expire_holder(self) -> None:
        """Drop a holder that has stopped polling and stop its tasks."""
        self.holder = ""
        for run in list(self.runs):
            self.finish_run(run, error="the holder's lease has expired")
        self.schedule_next_end()

    def due_usage(self) -> tuple[tasks.Usage, ...]:
        """Return the latest sample that is due, and drop it and older ones."""
        now_s = self.reactor.seconds()
        latest: tuple[tasks.Usage, ...] = ()
        while self.usage and self.usage[0][0] <= now_s:
            latest = self.usage.popleft()[1]
        return latest
