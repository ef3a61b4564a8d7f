"""A worker over HTTP+JSON: batched starts, leases and numbered events."""

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
# A poll ends this early without events, so that a silent connection is
# noticed within CALL_TIMEOUT_S more.
POLL_WAIT_S = 2.0
RETRY_S = 0.2
# A worker that answered nothing for this long counts as lost.
LOST_AFTER_S = 10.0
MAX_BATCH = 64
CONNECTIONS = 6
# A keeper fences its own lost starts by a higher generation. Generations
# stay below 2**53, and a later incarnation is above all of them.
GENERATIONS_PER_INCARNATION = 1000
STOP_ATTEMPTS = 5


@dataclasses.dataclass
class Lease:
    """A task given to the worker; ``orders`` wait for its start answer."""

    started_s: float
    is_confirmed: bool = False
    orders: list[core.TaskCommand] = dataclasses.field(default_factory=list)


class HttpWorker(client.EndpointClient):
    """Starts tasks on a worker and reports their ends.

    Starts of one reactor turn go out as one batch. When the answer of a
    batch is lost, the client raises its generation, which fences starts
    that are still on the way, and then reads the leases: a granted lease
    runs or has ended, any other was not started.
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
        self.calls = http.JsonClient(
            reactor=reactor, host=host, port=port, connections=CONNECTIONS
        )
        self.on_end: client.EndCallback | None = None
        self.on_usage: client.UsageCallback | None = None
        self.instance = ""
        self.sequence = 0
        self.leases: dict[tasks.TaskKey, Lease] = {}
        self.pending: list[tasks.TaskStart] = []
        self.flush_is_due = False
        self.is_attached = False
        self.is_replaced = False
        self.settling: set[tasks.TaskKey] = set()
        self.polling: defer.Deferred[None] | None = None
        self.answered_s = 0.0

    # The interface of the client.

    def attach(
        self, on_end: client.EndCallback, on_usage: client.UsageCallback
    ) -> defer.Deferred[
        result.Result[tuple[tasks.TaskKey, ...], errors.EndpointError]
    ]:
        """Become the only holder and return the tasks that already run."""
        self.on_end = on_end
        self.on_usage = on_usage
        return defer.ensureDeferred(self.first_attach())

    def start(self, start: tasks.TaskStart) -> None:
        """Start a task once, in a batch with others of this turn."""
        self.leases[start.key] = Lease(started_s=self.reactor.seconds())
        self.pending.append(start)
        if not self.flush_is_due:
            self.flush_is_due = True
            self.reactor.callLater(0, self.flush)

    def order(self, key: tasks.TaskKey, order: core.TaskCommand) -> None:
        """Give an order once the worker has confirmed the start."""
        lease = self.leases.get(key)
        if lease is None:
            return
        if not lease.is_confirmed:
            lease.orders.append(order)
            return
        self.spawn(self.send_order(key, order))

    def detach(self) -> None:
        """Release the worker; report no more ends."""
        was_attached = self.is_attached
        self.is_attached = False
        self.on_end = None
        self.on_usage = None
        self.leases.clear()
        self.pending.clear()
        self.settling.clear()
        if self.polling is not None:
            self.polling.cancel()
        if was_attached:
            self.spawn(self.release())

    # Attaching.

    async def first_attach(
        self,
    ) -> result.Result[tuple[tasks.TaskKey, ...], errors.EndpointError]:
        """Attach and start polling for events."""
        reply = await self.call_attach()
        match reply:
            case result.Err(error):
                return result.Err(attach_error(error))
            case result.Ok(attached):
                # A repeated attach keeps its place in the events, so that
                # ends which arrived in between are not skipped.
                self.accept_instance(attached)
        self.is_attached = True
        for key in attached.running:
            self.leases.setdefault(
                key, Lease(started_s=self.answered_s, is_confirmed=True)
            )
        if self.polling is None:
            self.polling = self.spawn(self.poll())
        return result.Ok(attached.running)

    def call_attach(
        self,
    ) -> defer.Deferred[result.Result[protocol.Attached, http.CallError]]:
        """Attach with the current generation."""
        return self.calls.post(
            protocol.ATTACH_PATH,
            protocol.Attach(holder=self.holder, generation=self.generation),
            protocol.Attached,
            timeout_s=self.call_timeout_s,
        )

    async def fence(self) -> result.Result[protocol.Attached, http.CallError]:
        """Attach again with a higher generation."""
        self.generation += 1
        reply = await self.call_attach()
        match reply:
            case result.Ok(attached):
                self.accept_instance(attached)
            case result.Err(error):
                self.check_replaced(error)
        return reply

    def accept_instance(self, attached: protocol.Attached) -> None:
        """Give up all earlier tasks if the worker was restarted."""
        self.answered_s = self.reactor.seconds()
        if attached.instance == self.instance:
            return
        self.instance = attached.instance
        self.sequence = attached.sequence
        self.give_up("the worker was restarted")

    def check_replaced(self, error: http.CallError) -> None:
        """Stop when another keeper has attached to the worker."""
        if error.failure is not http.CallFailure.CONFLICT:
            return
        if error.generation <= self.generation:
            return
        self.is_attached = False
        self.is_replaced = True
        self.give_up("another keeper has attached to the worker")

    def refusal_kind(self) -> errors.EndpointFailure:
        """Return why a start is refused; a fence of its own is no reason.

        The keeper of a replaced client must not wait for it to recover.
        """
        if self.is_replaced:
            return errors.EndpointFailure.STALE_GENERATION
        return errors.EndpointFailure.REFUSED

    def give_up(self, reason: str) -> None:
        """End confirmed tasks as unknown; the others get an answer."""
        for key, lease in list(self.leases.items()):
            if lease.is_confirmed:
                self.end_with(key, errors.EndpointFailure.UNKNOWN, reason)

    # Starting.

    def flush(self) -> None:
        """Send the starts that were asked for in this turn."""
        self.flush_is_due = False
        while self.pending:
            batch = tuple(self.pending[:MAX_BATCH])
            del self.pending[:MAX_BATCH]
            if not self.is_attached or self.settling:
                self.refuse(batch, "the worker does not answer")
                continue
            self.spawn(self.send_batch(batch))

    def refuse(self, batch: tuple[tasks.TaskStart, ...], reason: str) -> None:
        """End starts that were not sent."""
        kind = self.refusal_kind()
        for start in batch:
            self.end_with(start.key, kind, reason)

    async def send_batch(self, batch: tuple[tasks.TaskStart, ...]) -> None:
        """Send one batch once and settle its outcome."""
        instance = self.instance
        reply = await self.calls.post(
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
                await self.start_failed(keys, error, instance)

    async def start_failed(
        self,
        keys: list[tasks.TaskKey],
        error: http.CallError,
        instance: str,
    ) -> None:
        """Settle a batch that was not confirmed by ``instance``."""
        if error.failure in (
            http.CallFailure.UNKNOWN,
            http.CallFailure.FAILED,
        ):
            await self.settle(keys, instance)
            return
        self.check_replaced(error)
        kind = self.refusal_kind()
        for key in keys:
            self.end_with(key, kind, error.reason)

    def confirm(self, keys: list[tasks.TaskKey]) -> None:
        """Note that tasks were started, and give the orders that wait."""
        for key in keys:
            lease = self.leases.get(key)
            if lease is None:
                continue
            lease.is_confirmed = True
            for order in lease.orders:
                self.spawn(self.send_order(key, order))
            lease.orders.clear()

    async def settle(self, keys: list[tasks.TaskKey], instance: str) -> None:
        """Find out which starts of a lost answer took effect."""
        self.settling.update(keys)
        give_up_s = self.reactor.seconds() + self.lost_after_s
        settled = False
        while not settled and self.is_attached:
            settled = await self.settle_once(keys, instance)
            if settled or self.reactor.seconds() >= give_up_s:
                break
            await self.sleep(RETRY_S)
        self.settling.difference_update(keys)
        if not settled:
            for key in keys:
                self.end_with(
                    key,
                    errors.EndpointFailure.UNKNOWN,
                    "the worker does not tell whether the task was started",
                )

    async def settle_once(
        self, keys: list[tasks.TaskKey], instance: str
    ) -> bool:
        """Fence late starts, then read the leases; tell if that worked."""
        fenced = await self.fence()
        if fenced.is_err():
            return False
        reply = await self.calls.post(
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
                    # The restarted worker has lost its earlier leases.
                    for key in keys:
                        self.end_with(
                            key,
                            errors.EndpointFailure.UNKNOWN,
                            "the worker was restarted during the start",
                        )
                    return True
        granted = set(leases.lease_ids)
        self.confirm([k for k in keys if protocol.lease_id(k) in granted])
        for key in keys:
            if protocol.lease_id(key) not in granted:
                self.end_with(
                    key,
                    errors.EndpointFailure.REFUSED,
                    "the worker's lease list shows that it did not start",
                )
        return True

    # Orders.

    async def send_order(
        self, key: tasks.TaskKey, order: core.TaskCommand
    ) -> None:
        """Send an order; repeat a stop, which is idempotent."""
        attempts = 1
        if order is core.TaskCommand.STOP:
            attempts = STOP_ATTEMPTS
        for _ in range(attempts):
            reply = await self.calls.post(
                protocol.ORDER_PATH,
                protocol.Order(
                    generation=self.generation, key=key, order=order
                ),
                protocol.Empty,
                timeout_s=self.call_timeout_s,
            )
            if reply.is_ok() or key not in self.leases:
                return
            await self.sleep(RETRY_S)

    # Events.

    async def poll(self) -> None:
        """Receive events for as long as the worker is attached."""
        while self.is_attached:
            reply = await self.calls.post(
                protocol.EVENTS_PATH,
                protocol.PollEvents(
                    generation=self.generation,
                    after=self.sequence,
                    wait_s=POLL_WAIT_S,
                ),
                protocol.Events,
                timeout_s=POLL_WAIT_S + self.call_timeout_s,
            )
            match reply:
                case result.Ok(events):
                    self.receive(events)
                case result.Err(error):
                    await self.poll_failed(error)
        self.polling = None

    def receive(self, events: protocol.Events) -> None:
        """Report ends and usage; a repeated event is skipped."""
        self.answered_s = self.reactor.seconds()
        if events.instance != self.instance:
            return
        for event in events.ends:
            if event.sequence <= self.sequence:
                continue
            self.sequence = event.sequence
            self.end(task_end(event))
        if events.usage and self.on_usage is not None:
            self.on_usage(events.usage)

    async def poll_failed(self, error: http.CallError) -> None:
        """Wait, and attach again where that is needed."""
        self.check_replaced(error)
        if not self.is_attached:
            return
        if self.reactor.seconds() - self.answered_s > self.lost_after_s:
            self.give_up("the worker has stopped answering")
        await self.sleep(RETRY_S)
        if error.failure is http.CallFailure.CONFLICT and not self.settling:
            await self.attach_again()

    async def attach_again(self) -> None:
        """Attach to a restarted worker; stop tasks that were given up."""
        reply = await self.fence()
        if reply.is_err():
            return
        for key in reply.unwrap().running:
            if key not in self.leases:
                await self.send_order(key, core.TaskCommand.STOP)

    # Helpers.

    def end(self, end: core.TaskEnd) -> None:
        """Report the end of a task, once."""
        if self.leases.pop(end.key, None) is None or self.on_end is None:
            return
        self.on_end(end)

    def end_with(
        self, key: tasks.TaskKey, kind: errors.EndpointFailure, reason: str
    ) -> None:
        """Report the end of a task by an error."""
        lease = self.leases.get(key)
        if lease is None:
            return
        run_s = 0.0
        if lease.is_confirmed:
            run_s = self.reactor.seconds() - lease.started_s
        error = errors.EndpointError(failure=kind, reason=reason)
        self.end(core.TaskEnd(key=key, run_s=run_s, error=error))

    def sleep(self, seconds: float) -> defer.Deferred[None]:
        """Return a Deferred that fires after ``seconds``."""
        return task.deferLater(self.reactor, seconds)

    def spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> defer.Deferred[None]:
        """Run ``work``; it is cancelled only by :meth:`detach`."""
        running = defer.ensureDeferred(work)
        running.addErrback(lambda f: f.trap(defer.CancelledError) and None)
        return running

    async def release(self) -> None:
        """Tell the worker that this holder gives it up."""
        await self.calls.post(
            protocol.DETACH_PATH,
            protocol.Detach(generation=self.generation),
            protocol.Empty,
            timeout_s=self.call_timeout_s,
        )
        await self.calls.close()


def lease_start(start: tasks.TaskStart) -> protocol.LeaseStart:
    """Return how the worker is asked to start a task."""
    return protocol.LeaseStart(
        lease_id=protocol.lease_id(start.key),
        key=start.key,
        payload=start.task.payload,
        demand=start.task.demand,
    )


def task_end(event: protocol.EndEvent) -> core.TaskEnd:
    """Return the end that an event reports."""
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
