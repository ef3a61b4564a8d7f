"""Simulated minion with slots, a connection limit and a speed factor."""

import collections
import typing

import msgspec
from twisted.internet import defer
from twisted.web import server

from _jasminewind import announcements
from _jasminewind import members
from _jasminewind import resources
from _jasminewind.platform import protocol
from _jasminewind.standins import payloads
from _jasminewind.standins import server as standin_server

DEFAULT_SLOTS = 8
DEFAULT_MAX_CONNECTIONS = 64


class MinionStandIn(standin_server.StandIn):
    """Runs one call per slot and queues further calls."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        name: str,
        port: int = 0,
        control_port: int = 0,
        service: str,
        slots: int = DEFAULT_SLOTS,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        speed: float = 1.0,
    ) -> None:
        super().__init__(
            reactor=reactor, name=name, port=port, control_port=control_port
        )
        self.service = service
        self.slots = slots
        self.max_connections = max_connections
        self.speed = speed
        self.running = 0
        self.waiting: collections.deque[defer.Deferred[None]]
        self.waiting = collections.deque()
        self.routes = {
            protocol.HEALTH_PATH: self.health,
            protocol.CALL_PATH: self.call,
        }

    def announcement(self) -> announcements.Announcement:
        """Return the announcement for the agent."""
        return announcements.Announcement(
            name=self.name,
            kind=members.EndpointKind.MINION,
            port=self.port,
            service=self.service,
            capacity=resources.Resources(slots=float(self.slots)),
            connections=self.max_connections,
        )

    def is_busy(self) -> bool:
        """Tell whether a call is running or queued."""
        return self.running > 0 or bool(self.waiting)

    async def health(
        self, body: bytes, request: server.Request
    ) -> standin_server.Reply:
        """Answer a health check."""
        del body, request
        return standin_server.Reply()

    async def call(
        self, body: bytes, request: server.Request
    ) -> standin_server.Reply:
        """Run one call as soon as a slot is free."""
        call = msgspec.json.decode(body, type=protocol.Call)
        if self.running + len(self.waiting) >= self.max_connections:
            return standin_server.not_run_reply(
                "all connections of this minion are in use"
            )
        request_done: defer.Deferred[None] = defer.Deferred()
        request.notifyFinish().addBoth(self.on_request_done, request_done)
        if not await self.acquire_slot(request_done):
            return standin_server.not_run_reply(
                "the caller disconnected before the call ran"
            )
        position = self.starts.begin(call.key)
        simulation = payloads.decode(call.payload)
        run_s = simulation.run_s / self.speed
        try:
            await self.simulate_run(run_s, request_done)
        finally:
            self.starts.end(position)
            self.release_slot()
        if simulation.fail:
            return failed_reply("the task failed")
        payload = payloads.output(self.name, call.payload)
        return standin_server.Reply(
            body=protocol.CallReply(payload=payload, run_s=run_s)
        )

    async def fail(
        self, path: str, body: bytes, request: server.Request
    ) -> standin_server.Reply:
        """Fail a call at once and record it as started."""
        if path == protocol.CALL_PATH:
            call = msgspec.json.decode(body, type=protocol.Call)
            self.starts.end(self.starts.begin(call.key))
        return await super().fail(path, body, request)

    def on_request_done(
        self, outcome: object, request_done: defer.Deferred[None]
    ) -> None:
        """Fire once the response is sent or the caller disconnects."""
        del outcome
        if not request_done.called:
            request_done.callback(None)

    async def acquire_slot(self, request_done: defer.Deferred[None]) -> bool:
        """Wait for a slot; return False if the caller disconnects first."""
        if self.running < self.slots:
            self.running += 1
            return True
        slot_granted: defer.Deferred[None] = defer.Deferred()
        self.waiting.append(slot_granted)
        _, fired_index = await defer.DeferredList(
            [slot_granted, request_done], fireOnOneCallback=True
        )
        if fired_index == 0:
            return True
        self.waiting.remove(slot_granted)
        return False

    def release_slot(self) -> None:
        """Pass the slot to the oldest queued call."""
        if self.waiting:
            self.waiting.popleft().callback(None)
        else:
            self.running -= 1

    async def simulate_run(
        self, run_s: float, request_done: defer.Deferred[None]
    ) -> None:
        """Wait ``run_s`` seconds, or until the caller disconnects."""
        timer: defer.Deferred[None] = defer.Deferred()
        call = self.reactor.callLater(run_s, timer.callback, None)
        await defer.DeferredList([timer, request_done], fireOnOneCallback=True)
        if call.active():
            call.cancel()


def failed_reply(reason: str) -> standin_server.Reply:
    """Return the response of a call that failed while running."""
    return standin_server.Reply(
        status=protocol.FAILED, body=protocol.Refused(reason=reason)
    )
