"""HTTP client of a worker: batched starts, leases and sequenced events."""

import dataclasses
import typing

import result
from twisted.internet import defer
from twisted.internet import task

from _jasminewind import errors
from _jasminewind.decisions import core
from _jasminewind.messages import tasks
from _jasminewind.platform import client
from _jasminewind.platform import http
from _jasminewind.platform import minions
from _jasminewind.platform import protocol

CALL_TIMEOUT_S = 2.0
# The worker responds after this time even without events; a connection that
# stays silent for CALL_TIMEOUT_S more counts as broken.
LONG_POLL_S = 2.0
RETRY_DELAY_S = 0.2
# A worker without a response for this long counts as lost.
LOST_AFTER_S = 10.0
MAX_BATCH = 64
MAX_CONNECTIONS = 6
# An agent fences its own lost starts by raising its generation. Generations
# stay below 2**53, and those of a later incarnation are always higher.
GENERATIONS_PER_INCARNATION = 1000
STOP_ATTEMPTS = 5


@dataclasses.dataclass
class Lease:
    """A task on the worker, and the commands held until its start succeeds."""

    started_s: float
    is_confirmed: bool = False
    pending_commands: list[core.TaskCommand] = dataclasses.field(
        default_factory=list
    )


class HttpWorker(client.EndpointClient):
    """Starts tasks on a worker and reports their ends.

    Starts of one reactor iteration are sent as one batch. If the response
    to a batch is lost, the client raises its generation, which fences
    starts still in flight, and then reads the leases: a task with a
    granted lease runs or has ended, any other was not started.
    """

    def __init__(
        self,
        *,
        reactor: typing.Any,
        host: str,
        port: int,
        holder: str,
        incarnation: int,
        call_timeout_s: float = CALL_TIMEOUT_S,
        lost_after_s: float = LOST_AFTER_S,
    ) -> None:
        self.reactor = reactor
        self.holder = holder
        self.generation = incarnation * GENERATIONS_PER_INCARNATION
        self.call_timeout_s = call_timeout_s
        self.lost_after_s = lost_after_s
        self.http_client = http.JsonClient(
            reactor=reactor, host=host, port=port, connections=MAX_CONNECTIONS
        )
        self.on_end: client.EndCallback | None = None
        self.on_usage: client.UsageCallback | None = None
        self.instance = ""
        self.sequence = 0
        self.leases: dict[tasks.TaskKey, Lease] = {}
        self.pending: list[tasks.TaskStart] = []
        self.is_flush_scheduled = False
        self.is_attached = False
        self.is_superseded = False
        self.unresolved: set[tasks.TaskKey] = set()
        self.poll_loop: defer.Deferred[None] | None = None
        self.last_response_s = 0.0

    # Interface of EndpointClient

    def attach(
        self, on_end: client.EndCallback, on_usage: client.UsageCallback
    ) -> defer.Deferred[
        result.Result[tuple[tasks.TaskKey, ...], errors.EndpointError]
    ]:
        """Become the only holder and return the tasks that already run."""
        self.on_end = on_end
        self.on_usage = on_usage
        return defer.ensureDeferred(self.attach_and_poll())

    def start(self, start: tasks.TaskStart) -> None:
        """Start a task once, batched with others of this iteration."""
        self.leases[start.key] = Lease(started_s=self.reactor.seconds())
        self.pending.append(start)
        if not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self.reactor.callLater(0, self.flush)

    def control(self, key: tasks.TaskKey, command: core.TaskCommand) -> None:
        """Send a command once the worker has confirmed the start."""
        lease = self.leases.get(key)
        if lease is None:
            return
        if not lease.is_confirmed:
            lease.pending_commands.append(command)
            return
        self.run_in_background(self.send_command(key, command))

    def detach(self) -> None:
        """Detach from the worker; report no more ends."""
        was_attached = self.is_attached
        self.is_attached = False
        self.on_end = None
        self.on_usage = None
        self.leases.clear()
        self.pending.clear()
        self.unresolved.clear()
        if self.poll_loop is not None:
            self.poll_loop.cancel()
        if was_attached:
            self.run_in_background(self.send_detach())

    # Attaching

    async def attach_and_poll(
        self,
    ) -> result.Result[tuple[tasks.TaskKey, ...], errors.EndpointError]:
        """Attach and start polling for events."""
        reply = await self.call_attach()
        match reply:
            case result.Err(error):
                return result.Err(attach_error(error))
            case result.Ok(attached):
                # A repeated attach keeps its event sequence, so that ends
                # in between are not skipped.
                self.accept_instance(attached)
        self.is_attached = True
        for key in attached.running:
            self.leases.setdefault(
                key, Lease(started_s=self.last_response_s, is_confirmed=True)
            )
        if self.poll_loop is None:
            self.poll_loop = self.run_in_background(self.poll())
        return result.Ok(attached.running)

    def call_attach(
        self,
    ) -> defer.Deferred[result.Result[protocol.Attached, http.CallError]]:
        """Attach with the current generation."""
        return self.http_client.post(
            protocol.ATTACH_PATH,
            protocol.Attach(holder=self.holder, generation=self.generation),
            protocol.Attached,
            timeout_s=self.call_timeout_s,
        )

    async def fence(self) -> result.Result[protocol.Attached, http.CallError]:
        """Attach with a higher generation, which fences earlier starts."""
        self.generation += 1
        reply = await self.call_attach()
        match reply:
            case result.Ok(attached):
                self.accept_instance(attached)
            case result.Err(error):
                self.check_superseded(error)
        return reply

    def accept_instance(self, attached: protocol.Attached) -> None:
        """Store the instance; fail confirmed tasks if the worker restarted."""
        self.last_response_s = self.reactor.seconds()
        if attached.instance == self.instance:
            return
        self.instance = attached.instance
        self.sequence = attached.sequence
        self.fail_confirmed_tasks("the worker was restarted")

    def check_superseded(self, error: http.CallError) -> None:
        """Stop if a higher generation has attached to the worker."""
        if error.failure is not http.CallFailure.CONFLICT:
            return
        if error.generation <= self.generation:
            return
        self.is_attached = False
        self.is_superseded = True
        self.fail_confirmed_tasks(
            "another agent process has attached to the worker"
        )

    def refusal_failure(self) -> errors.EndpointFailure:
        """Return the failure of refused starts.

        The executor must not wait for a superseded client to recover. A
        client that only raised its own generation is not superseded.
        """
        if self.is_superseded:
            return errors.EndpointFailure.STALE_GENERATION
        return errors.EndpointFailure.REFUSED

    def fail_confirmed_tasks(self, reason: str) -> None:
        """End confirmed tasks as unknown; other starts are still resolved."""
        for key, lease in list(self.leases.items()):
            if lease.is_confirmed:
                self.end_with_error(
                    key, errors.EndpointFailure.UNKNOWN, reason
                )

    # Starting tasks

    def flush(self) -> None:
        """Send the starts of this reactor iteration in batches."""
        self.is_flush_scheduled = False
        while self.pending:
            batch = tuple(self.pending[:MAX_BATCH])
            del self.pending[:MAX_BATCH]
            if not self.is_attached or self.unresolved:
                self.refuse(batch, "the worker does not respond")
                continue
            self.run_in_background(self.send_batch(batch))

    def refuse(self, batch: tuple[tasks.TaskStart, ...], reason: str) -> None:
        """Refuse starts that were not sent."""
        kind = self.refusal_failure()
        for start in batch:
            self.end_with_error(start.key, kind, reason)

    async def send_batch(self, batch: tuple[tasks.TaskStart, ...]) -> None:
        """Send one batch once and determine its outcome."""
        instance = self.instance
        reply = await self.http_client.post(
            protocol.START_PATH,
            protocol.StartLeases(
                generation=self.generation,
                starts=tuple(lease_start(start) for start in batch),
            ),
            protocol.Empty,
            timeout_s=self.call_timeout_s,
        )
        keys = [start.key for start in batch]
        match reply:
            case result.Ok():
                self.confirm(keys)
            case result.Err(error):
                await self.on_start_error(keys, error, instance)

    async def on_start_error(
        self,
        keys: list[tasks.TaskKey],
        error: http.CallError,
        instance: str,
    ) -> None:
        """Handle a batch that ``instance`` did not confirm."""
        if error.failure in (
            http.CallFailure.UNKNOWN,
            http.CallFailure.FAILED,
        ):
            await self.resolve_starts(keys, instance)
            return
        self.check_superseded(error)
        kind = self.refusal_failure()
        for key in keys:
            self.end_with_error(key, kind, error.reason)

    def confirm(self, keys: list[tasks.TaskKey]) -> None:
        """Mark tasks as started and send their pending commands."""
        for key in keys:
            lease = self.leases.get(key)
            if lease is None:
                continue
            lease.is_confirmed = True
            for command in lease.pending_commands:
                self.run_in_background(self.send_command(key, command))
            lease.pending_commands.clear()

    async def resolve_starts(
        self, keys: list[tasks.TaskKey], instance: str
    ) -> None:
        """Find out which starts of a batch without a response took effect."""
        self.unresolved.update(keys)
        deadline_s = self.reactor.seconds() + self.lost_after_s
        is_resolved = False
        while not is_resolved and self.is_attached:
            is_resolved = await self.try_resolve_starts(keys, instance)
            if is_resolved or self.reactor.seconds() >= deadline_s:
                break
            await self.sleep(RETRY_DELAY_S)
        self.unresolved.difference_update(keys)
        if not is_resolved:
            for key in keys:
                self.end_with_error(
                    key,
                    errors.EndpointFailure.UNKNOWN,
                    "the worker did not report whether the task was started",
                )

    async def try_resolve_starts(
        self, keys: list[tasks.TaskKey], instance: str
    ) -> bool:
        """Fence late starts, then read the leases; return success."""
        fenced = await self.fence()
        if fenced.is_err():
            return False
        reply = await self.http_client.post(
            protocol.LEASES_PATH,
            protocol.ReadLeases(
                lease_ids=tuple(protocol.lease_id(key) for key in keys)
            ),
            protocol.Leases,
            timeout_s=self.call_timeout_s,
        )
        match reply:
            case result.Err():
                return False
            case result.Ok(leases):
                if leases.instance != instance:
                    # A restarted worker has lost its leases.
                    for key in keys:
                        self.end_with_error(
                            key,
                            errors.EndpointFailure.UNKNOWN,
                            "the worker was restarted during the start",
                        )
                    return True
        granted = set(leases.lease_ids)
        self.confirm([k for k in keys if protocol.lease_id(k) in granted])
        for key in keys:
            if protocol.lease_id(key) not in granted:
                self.end_with_error(
                    key,
                    errors.EndpointFailure.REFUSED,
                    "the worker's lease list shows that it did not start",
                )
        return True

    # Commands

    async def send_command(
        self, key: tasks.TaskKey, command: core.TaskCommand
    ) -> None:
        """Send a command; only a stop is retried, as it is idempotent."""
        attempts = 1
        if command is core.TaskCommand.STOP:
            attempts = STOP_ATTEMPTS
        for _ in range(attempts):
            reply = await self.http_client.post(
                protocol.ORDER_PATH,
                protocol.Order(
                    generation=self.generation, key=key, order=command
                ),
                protocol.Empty,
                timeout_s=self.call_timeout_s,
            )
            if reply.is_ok() or key not in self.leases:
                return
            await self.sleep(RETRY_DELAY_S)

    # Events

    async def poll(self) -> None:
        """Long-poll for events while the worker is attached."""
        while self.is_attached:
            reply = await self.http_client.post(
                protocol.EVENTS_PATH,
                protocol.PollEvents(
                    generation=self.generation,
                    after=self.sequence,
                    wait_s=LONG_POLL_S,
                ),
                protocol.Events,
                timeout_s=LONG_POLL_S + self.call_timeout_s,
            )
            match reply:
                case result.Ok(events):
                    self.receive(events)
                case result.Err(error):
                    await self.on_poll_error(error)
        self.poll_loop = None

    def receive(self, events: protocol.Events) -> None:
        """Report ends and usage; skip repeated events."""
        self.last_response_s = self.reactor.seconds()
        if events.instance != self.instance:
            return
        for event in events.ends:
            if event.sequence <= self.sequence:
                continue
            self.sequence = event.sequence
            self.report_end(task_end(event))
        if events.usage and self.on_usage is not None:
            self.on_usage(events.usage)

    async def on_poll_error(self, error: http.CallError) -> None:
        """Wait, and attach again after a conflict."""
        self.check_superseded(error)
        if not self.is_attached:
            return
        if self.reactor.seconds() - self.last_response_s > self.lost_after_s:
            self.fail_confirmed_tasks("the worker has stopped answering")
        await self.sleep(RETRY_DELAY_S)
        if error.failure is http.CallFailure.CONFLICT and not self.unresolved:
            await self.reattach()

    async def reattach(self) -> None:
        """Attach to a restarted worker; stop tasks reported as ended."""
        reply = await self.fence()
        if reply.is_err():
            return
        for key in reply.unwrap().running:
            if key not in self.leases:
                await self.send_command(key, core.TaskCommand.STOP)

    # Helpers

    def report_end(self, end: core.TaskEnd) -> None:
        """Report the end of a task once."""
        if self.leases.pop(end.key, None) is None or self.on_end is None:
            return
        self.on_end(end)

    def end_with_error(
        self, key: tasks.TaskKey, kind: errors.EndpointFailure, reason: str
    ) -> None:
        """Report that a task ended with an error."""
        lease = self.leases.get(key)
        if lease is None:
            return
        run_s = 0.0
        if lease.is_confirmed:
            run_s = self.reactor.seconds() - lease.started_s
        error = errors.EndpointError(failure=kind, reason=reason)
        self.report_end(core.TaskEnd(key=key, run_s=run_s, error=error))

    def sleep(self, seconds: float) -> defer.Deferred[None]:
        """Return a Deferred that fires after ``seconds``."""
        return task.deferLater(self.reactor, seconds)

    def run_in_background(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> defer.Deferred[None]:
        """Run ``work``; only :meth:`detach` cancels it."""
        running = defer.ensureDeferred(work)
        running.addErrback(lambda f: f.trap(defer.CancelledError) and None)
        return running

    async def send_detach(self) -> None:
        """Release the worker and close the connections."""
        await self.http_client.post(
            protocol.DETACH_PATH,
            protocol.Detach(generation=self.generation),
            protocol.Empty,
            timeout_s=self.call_timeout_s,
        )
        await self.http_client.close()


def lease_start(start: tasks.TaskStart) -> protocol.LeaseStart:
    """Return the request to start a task under a lease."""
    return protocol.LeaseStart(
        lease_id=protocol.lease_id(start.key),
        key=start.key,
        payload=start.task.payload,
        demand=start.task.demand,
    )


def task_end(event: protocol.EndEvent) -> core.TaskEnd:
    """Convert an event to a task end."""
    error = None
    if event.error:
        error = errors.EndpointError(
            failure=errors.EndpointFailure.FAILED, reason=event.error
        )
    return core.TaskEnd(
        key=event.key,
        run_s=event.run_s,
        payload=event.payload,
        error=error,
    )


def attach_error(error: http.CallError) -> errors.EndpointError:
    """Translate the error of an attach."""
    if error.failure is http.CallFailure.CONFLICT:
        return errors.EndpointError(
            failure=errors.EndpointFailure.STALE_GENERATION,
            reason=error.reason,
        )
    return minions.endpoint_error(error)
