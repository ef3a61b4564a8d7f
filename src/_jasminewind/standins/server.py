"""HTTP+JSON server with fault injection, the base of all stand-ins."""

import collections.abc
import dataclasses
import time
import typing
import weakref

import msgspec
from twisted.internet import defer
from twisted.internet import task
from twisted.web import resource
from twisted.web import server

from _jasminewind.messages import tasks
from _jasminewind.platform import protocol
from _jasminewind.standins import faults

FAULTS_PATH = "/v1/faults"
STARTS_PATH = "/v1/starts"
HOST = "127.0.0.1"
IDLE_CONNECTION_S = 60


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Status and body of a response."""

    body: object = protocol.Empty()
    status: int = protocol.OK


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartRecord:
    """A recorded start, in wall-clock seconds; ends at 0 while running."""

    key: tasks.TaskKey
    endpoint: str
    started_s: float
    ended_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartList:
    """Response to ``GET /v1/starts``, in start order."""

    starts: tuple[StartRecord, ...]


class StartLog:
    """Records all starts at an endpoint, including duplicates."""

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
        self.records: list[StartRecord] = []

    def begin(self, key: tasks.TaskKey) -> int:
        """Record a start and return its position."""
        self.records.append(
            StartRecord(key=key, endpoint=self.endpoint, started_s=time.time())
        )
        return len(self.records) - 1

    def end(self, position: int) -> None:
        """Record the end of the start at ``position``."""
        record = self.records[position]
        self.records[position] = dataclasses.replace(
            record, ended_s=time.time()
        )


Handler = collections.abc.Callable[
    [bytes, server.Request], collections.abc.Awaitable[Reply]
]


def not_run_reply(
    reason: str, *, status: int = protocol.UNAVAILABLE, generation: int = 0
) -> Reply:
    """Return an error response which guarantees that nothing was run."""
    return Reply(
        status=status,
        body=protocol.Refused(
            reason=reason, not_run=True, generation=generation
        ),
    )


class RootResource(resource.Resource):
    """Root resource that passes every request to its stand-in."""

    isLeaf = True  # noqa: N815

    def __init__(self, standin: "StandIn", *, is_control: bool) -> None:
        super().__init__()
        self.standin = standin
        self.is_control = is_control

    def render(self, request: server.Request) -> int:
        """Handle the request asynchronously."""
        handling = defer.ensureDeferred(
            self.standin.dispatch(request, is_control=self.is_control)
        )
        handling.addErrback(self.standin.on_handler_error, request)
        return server.NOT_DONE_YET


class StandIn:
    """A server with a service port and a control port on loopback.

    Both ports serve ``GET /v1/starts`` and ``POST /v1/faults``, unaffected
    by faults. The control port stays open while the stand-in is down.
    """

    def __init__(
        self,
        *,
        reactor: typing.Any,
        name: str,
        port: int = 0,
        control_port: int = 0,
    ) -> None:
        self.reactor = reactor
        self.name = name
        self.port = port
        self.control_port = control_port
        self.faults = faults.Faults()
        self.starts = StartLog(name)
        self.routes: dict[str, Handler] = {}
        self.channels: weakref.WeakSet[typing.Any] = weakref.WeakSet()
        self.frozen_channels: weakref.WeakSet[typing.Any] = weakref.WeakSet()
        self.service_listener: typing.Any = None
        self.control_listener: typing.Any = None

    def open(self) -> None:
        """Listen on both ports."""
        self.control_listener = self.listen(self.control_port, is_control=True)
        self.control_port = self.control_listener.getHost().port
        self.open_service()

    def open_service(self) -> None:
        """Listen on the service port."""
        self.service_listener = self.listen(self.port, is_control=False)
        self.port = self.service_listener.getHost().port

    def listen(self, port: int, *, is_control: bool) -> typing.Any:
        """Listen on one port."""
        site = server.Site(
            RootResource(self, is_control=is_control),
            timeout=IDLE_CONNECTION_S,
        )
        return self.reactor.listenTCP(port, site, interface=HOST)

    async def close(self) -> None:
        """Close both ports and the service connections."""
        await self.close_service()
        if self.control_listener is not None:
            await defer.maybeDeferred(self.control_listener.stopListening)
            self.control_listener = None

    async def close_service(self) -> None:
        """Close the service port and its connections."""
        listener = self.service_listener
        self.service_listener = None
        if listener is not None:
            await defer.maybeDeferred(listener.stopListening)
        for channel in list(self.channels):
            abort(channel)

    # Requests.

    async def dispatch(
        self, request: server.Request, *, is_control: bool
    ) -> None:
        """Route a request to the control paths or to the service."""
        path = request.path.decode("utf-8", "replace")
        content: typing.Any = request.content
        body = content.read()
        if path == FAULTS_PATH:
            await self.change_faults(request, body)
            return
        if path == STARTS_PATH:
            send_reply(request, Reply(body=self.start_list()))
            return
        if not is_control:
            self.channels.add(request.channel)
        await self.serve(request, path, body)

    async def serve(
        self, request: server.Request, path: str, body: bytes
    ) -> None:
        """Handle a service request under the active faults."""
        active_faults = self.faults_for(path)
        channel = request.channel
        if active_faults.delay_s > 0:
            await task.deferLater(self.reactor, active_faults.delay_s)
        if self.faults.freeze_open and channel in self.frozen_channels:
            return
        if active_faults.freeze and not active_faults.drop_answer:
            return
        if active_faults.refuse:
            send_reply(request, not_run_reply("the fault 'refuse' is active"))
            return
        if active_faults.fail:
            send_reply(request, await self.fail(path, body, request))
            return
        reply = await self.handle(path, body, request)
        # A fault switched on during a long poll also drops its response.
        active_faults = self.faults_for(path)
        if active_faults.drop_answer:
            if not active_faults.freeze:
                abort(channel)
            return
        if self.faults.freeze_open and channel in self.frozen_channels:
            return
        send_reply(request, reply)

    def faults_for(self, path: str) -> faults.Faults:
        """Return the active faults for calls of ``path``."""
        if self.faults.applies_to(path):
            return self.faults
        return faults.Faults()

    async def handle(
        self, path: str, body: bytes, request: server.Request
    ) -> Reply:
        """Run the handler of ``path``."""
        handler = self.routes.get(path)
        if handler is None:
            return not_run_reply(
                f"unknown path {path}", status=protocol.NOT_FOUND
            )
        try:
            return await handler(body, request)
        except msgspec.MsgspecError as e:
            return not_run_reply(
                f"invalid request body: {e}", status=protocol.BAD_REQUEST
            )

    async def fail(
        self, path: str, body: bytes, request: server.Request
    ) -> Reply:
        """Fail a call; workers override this to fail only its tasks."""
        del path, body, request
        return Reply(
            status=protocol.FAILED,
            body=protocol.Refused(reason="the fault 'fail' is active"),
        )

    def on_handler_error(
        self, reason: typing.Any, request: server.Request
    ) -> None:
        """Return 500 for an exception in a handler."""
        send_reply(
            request,
            Reply(
                status=protocol.FAILED,
                body=protocol.Refused(reason=str(reason.value)),
            ),
        )

    # Control paths.

    async def change_faults(
        self, request: server.Request, body: bytes
    ) -> None:
        """Return the active faults (GET) or replace them."""
        if request.method == b"GET":
            send_reply(request, Reply(body=self.faults))
            return
        decoded = faults.decode(body)
        if decoded.is_err():
            send_reply(
                request,
                not_run_reply(
                    decoded.unwrap_err(), status=protocol.BAD_REQUEST
                ),
            )
            return
        await self.set_faults(decoded.unwrap(), keep_open=request.channel)
        send_reply(request, Reply(body=self.faults))

    async def set_faults(
        self, new_faults: faults.Faults, *, keep_open: object = None
    ) -> None:
        """Replace the faults; the connection ``keep_open`` stays open."""
        previous = self.faults
        self.faults = new_faults
        if new_faults.freeze_open and not previous.freeze_open:
            self.frozen_channels = weakref.WeakSet(self.channels)
        if new_faults.down and not previous.down:
            if keep_open is not None:
                self.channels.discard(keep_open)
            await self.close_service()
        if previous.down and not new_faults.down:
            self.open_service()

    def start_list(self) -> StartList:
        """Return all recorded starts."""
        return StartList(starts=tuple(self.starts.records))


def abort(channel: typing.Any) -> None:
    """Close a connection and discard its unsent data."""
    transport = getattr(channel, "transport", None)
    if transport is not None:
        transport.abortConnection()


def send_reply(request: server.Request, reply: Reply) -> None:
    """Send a response unless the caller has disconnected."""
    if request.finished or getattr(request, "_disconnected", False):
        return
    request.setResponseCode(reply.status)
    request.setHeader(b"content-type", b"application/json")
    data = msgspec.json.encode(reply.body)
    request.setHeader(b"content-length", str(len(data)).encode())
    request.write(data)
    request.finish()
