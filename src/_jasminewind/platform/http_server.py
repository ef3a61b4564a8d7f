"""HTTP/1.1 server for callers, with requests parsed by httptools.

twisted's own server takes several times as long for a request, which counts
when many callers press at once: refusing must cost little.

Clients are not trusted; docs/design/untrusted-clients.md lists what each of
them can make a process keep.
"""

import abc
import collections.abc
import enum
import socket
import typing

import structlog
from twisted.internet import protocol
from twisted.protocols import policies

from _jasminewind.decisions.jobs import client_budget
from _jasminewind.platform import client_guard
from _jasminewind.platform import http_reader
from _jasminewind.platform import http_responses
from _jasminewind.wire import writes

LOG = structlog.get_logger("http")
MAX_LOGGED_CHARS = 120
# Time for a client to read its last response.
CLOSE_LIMIT_S = 5.0
# Bytes that may arrive before the response to a request, also if the longest
# request is shorter.
MIN_UNREAD_BYTES = 65_536
# Bytes that are read from a connection in one turn of the reactor, and that
# wait to be sent before the next request is handled. With 65,536, the chunks
# of many clients kept the messages of agents waiting.
BUFFER_BYTES = 16_384
# The same in a body that is not chunked, which takes no time to parse.
BODY_BUFFER_BYTES = 65_536
# A body this short is covered by the cost of its connection.
UNCOUNTED_BYTES = 2_048
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Headers = http_reader.Headers
Limits = http_reader.Limits
Response = http_responses.Response
DEFAULT_LIMITS = Limits()


class Handler(abc.ABC):
    """Responds to requests."""

    @abc.abstractmethod
    def handle(self, request: "Request") -> None:
        """Respond to a request, now or later."""

    def limits(self) -> Limits:
        """Return the limits for the next request of a connection."""
        return DEFAULT_LIMITS

    def wanted_headers(self) -> frozenset[bytes]:
        """Return the lower-case names of headers that are read."""
        return frozenset()


class Request:
    """A request that has been received completely.

    Header names are in lower case. ``on_left`` is called if the connection
    ends before the response.
    """

    def __init__(
        self,
        connection: "Connection",
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        body_bytes: int,
        keep_alive: bool,
    ) -> None:
        self.connection = connection
        self.method = method
        self.path = target.partition("?")[0]
        self.headers = headers
        self.body = body
        # Size of the body; ``body`` is empty if that is beyond the limit.
        self.body_bytes = body_bytes
        self.keep_alive = keep_alive
        self.is_answered = False
        self.has_left = False
        self.on_left: collections.abc.Callable[[], None] | None = None

    def host(self) -> str:
        """Return the host name that the request is for."""
        return self.headers.get("host", "").partition(":")[0]

    def respond(self, response: Response, *, close: bool = False) -> None:
        """Send the response, unless the connection has ended.

        ``close`` asks the client to use another connection next.
        """
        if self.is_answered or self.has_left:
            return
        self.is_answered = True
        self.connection.send_response(self, response, close=close)

    def fail(self, error: BaseException) -> None:
        """Log an unexpected exception and respond with its status."""
        LOG.error(
            "unexpected exception; please report it",
            path=self.path[:MAX_LOGGED_CHARS],
            exc_info=error,
        )
        self.respond(Response(status=500, body=b"{}"))

    def exchange_body(self, held_bytes: int) -> bool:
        """Release the body, and count what is kept of it instead.

        Returns whether there is room for that. If not, the request has to be
        refused, and its body is still there.
        """
        has_room = self.connection.charge(held_bytes)
        if has_room:
            self.body = b""
        return has_room

    def leave(self) -> None:
        """Record that the connection has ended."""
        self.has_left = True
        if self.on_left is not None and not self.is_answered:
            self.on_left()

    def has_disconnected(self) -> bool:
        """Tell whether the client has closed its connection.

        The reactor reports that only after it has served the other sockets,
        which takes long when many connections break at once.
        """
        handle = typing.cast(typing.Any, self.connection.transport).getHandle()
        try:
            return not handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    RESPONSE = enum.auto()
    # The client has to read earlier responses first.
    UNREAD = enum.auto()


# The limit that a client meets when its time is over.
TIME_LIMITS = {
    Phase.HEAD: "header_time",
    Phase.BODY: "body_time",
    Phase.UNREAD: "response_time",
}


class Connection(protocol.Protocol, policies.TimeoutMixin):
    """Connection of one client; its requests are handled one at a time."""

    def __init__(self, site: "Site", address: str) -> None:
        self.handler = site.handler
        self.guard = site.guard
        self.port = site.port
        self.address = address
        self.reader = http_reader.RequestReader(
            site.handler.limits, site.guard.bounds, site.wanted
        )
        self.client: client_budget.Client | None = None
        self.current: Request | None = None
        # Memory that the current request holds.
        self.request_bytes = 0
        self.phase = Phase.IDLE
        self.body_end_s = 0.0
        self.is_proceeding = False
        self.is_closing = False
        # Set when more arrives before a response than is kept. It is
        # discarded, and the connection ends with the response.
        self.is_overrun = False

    # twisted defines the names.

    def connectionMade(self) -> None:  # noqa: N802
        """Wait for the first request."""
        transport = typing.cast(typing.Any, self.transport)
        transport.bufferSize = BUFFER_BYTES
        transport.registerProducer(self, True)
        self.client = self.guard.budget.open(
            self, self.port, self.address, self.guard.now_s()
        )
        self.setTimeout(self.reader.limits.idle_timeout_s)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read a part of one or several requests."""
        if self.is_closing or self.is_overrun:
            return
        if self.current is not None:
            self.keep_unread(data)
            return
        self.reader.receive(data)
        self.proceed()

    def keep_unread(self, data: bytes) -> None:
        """Keep what arrives before the response to the current request.

        Reading goes on, so that a client that leaves is noticed.
        """
        limits = self.reader.limits
        limit = max(limits.header_bytes + limits.body_bytes, MIN_UNREAD_BYTES)
        if self.reader.held_bytes() + len(data) <= limit:
            self.reader.receive(data)
            if self.charge(self.request_bytes):
                return
        self.is_overrun = True
        self.reader.drop()
        self.report("pipelined")

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = protocol.connectionDone
    ) -> None:
        """Drop the request that has no response."""
        del reason
        self.setTimeout(None)
        self.is_closing = True
        if self.client is not None:
            self.guard.budget.close(self.client)
        if self.current is not None:
            self.current.leave()

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close a connection that is idle, or sends or reads too slowly."""
        limit = TIME_LIMITS.get(self.phase)
        has_unsent = not writes.may_write(self.transport)
        if limit is not None or (has_unsent and not self.is_closing):
            self.report(limit or "response_time")
        if has_unsent or self.is_closing:
            self.abort()
        elif limit is not None:
            self.end(Response(status=408))
        else:
            self.close()

    # The transport calls these when its buffer is full or empty.

    def pauseProducing(self) -> None:  # noqa: N802
        """Read no more until the client has read the responses."""
        if self.is_closing:
            return
        self.phase = Phase.UNREAD
        self.setTimeout(self.reader.limits.idle_timeout_s)
        typing.cast(typing.Any, self.transport).pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on."""
        if self.is_closing or self.phase is not Phase.UNREAD:
            return
        self.phase = Phase.IDLE
        self.setTimeout(self.reader.limits.idle_timeout_s)
        typing.cast(typing.Any, self.transport).resumeProducing()
        self.proceed()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the connection is lost."""

    # Requests

    def proceed(self) -> None:
        """Handle what was read, until a request is answered later."""
        if self.is_proceeding:
            return
        self.is_proceeding = True
        while self.may_proceed():
            received = self.reader.take()
            if received is None:
                break
            self.handle(received)
        self.is_proceeding = False
        if self.may_proceed():
            problem = self.reader.problem
            if problem is not None:
                self.report(problem.limit, reason=problem.reason)
                self.end(Response(status=problem.status))
            else:
                self.wait()
        elif self.current is None and not self.is_closing:
            # What the client has not read counts, and may end it.
            self.hold(self.guard.now_s())

    def may_proceed(self) -> bool:
        """Tell whether the next request may be handled."""
        return (
            self.current is None
            and not self.is_closing
            and self.phase is not Phase.UNREAD
        )

    def handle(self, received: http_reader.Received) -> None:
        """Handle a request."""
        self.setTimeout(None)
        if self.phase is Phase.BODY:
            transport = typing.cast(typing.Any, self.transport)
            transport.bufferSize = BUFFER_BYTES
        self.phase = Phase.RESPONSE
        if self.client is not None:
            self.guard.budget.protect(self.client)
        request = self.current = Request(self, **received._asdict())
        if len(received.body) > UNCOUNTED_BYTES and not self.charge(
            len(received.body)
        ):
            self.report("memory")
            request.respond(http_responses.REFUSED_FOR_MEMORY, close=True)
            return
        try:
            self.handler.handle(request)
        except Exception as error:
            request.fail(error)

    def wait(self) -> None:
        """Wait for the rest of a request, or for the next one."""
        reader = self.reader
        limits = reader.limits
        if reader.is_idle():
            phase, limit_s = Phase.IDLE, limits.idle_timeout_s
        elif reader.stage is http_reader.Stage.HEAD:
            phase, limit_s = Phase.HEAD, limits.header_timeout_s
        else:
            phase, limit_s = Phase.BODY, limits.idle_timeout_s
        now_s = self.guard.now_s()
        if phase is not self.phase:
            self.phase = phase
            self.setTimeout(limit_s)
            if phase is Phase.BODY:
                if reader.stage is http_reader.Stage.BODY:
                    transport = typing.cast(typing.Any, self.transport)
                    transport.bufferSize = BODY_BUFFER_BYTES
                self.body_end_s = now_s + self.guard.bounds.body_timeout_s
                if reader.awaits_continue and not reader.body_size:
                    self.write(CONTINUE)
        elif phase is Phase.BODY:
            self.setTimeout(max(0.0, min(limit_s, self.body_end_s - now_s)))
        self.hold(now_s)

    def send_response(
        self, request: Request, response: Response, *, close: bool
    ) -> None:
        """Send the response to the current request."""
        # Requests that have arrived are answered first.
        close = not request.keep_alive or (close and not self.reader.buffer)
        close = close or self.is_overrun
        self.current = None
        self.write(http_responses.encode(response, close=close))
        if close:
            self.close()
        else:
            self.proceed()

    def end(self, response: Response) -> None:
        """Send a last response that does not follow from a request."""
        self.write(http_responses.encode(response, close=True))
        self.close()

    def close(self) -> None:
        """Close the connection once everything is written."""
        self.is_closing = True
        self.reader.drop()
        transport = typing.cast(typing.Any, self.transport)
        # A connection with a producer is not closed.
        transport.unregisterProducer()
        self.setTimeout(CLOSE_LIMIT_S)
        self.hold(self.guard.now_s())
        transport.loseConnection()

    def abort(self) -> None:
        """Close the connection without sending what is unsent."""
        self.is_closing = True
        self.reader.drop()
        typing.cast(typing.Any, self.transport).abortConnection()

    def write(self, data: bytes) -> None:
        """Write to the connection."""
        writes.write_at_once(self.transport, data)

    # The budget of all clients

    def report(self, limit: str, **fields: str) -> None:
        """Report that this client has met a limit."""
        self.guard.report(
            limit,
            self.guard.now_s(),
            port=self.port,
            client=self.address,
            **fields,
        )

    def hold(self, now_s: float) -> None:
        """Count what the client makes this process keep."""
        if self.client is None:
            return
        held_bytes = self.reader.held_bytes() + writes.unsent_bytes(
            self.transport
        )
        budget = self.guard.budget
        if self.client.is_protected:
            ended = budget.unprotect(self.client, held_bytes, now_s)
        else:
            ended = budget.hold(self.client, held_bytes, now_s)
        end_all(ended)

    def charge(self, request_bytes: int) -> bool:
        """Count what the current request holds, if there is room for it."""
        if self.client is None:
            return True
        has_room, ended = self.guard.budget.charge(
            self.client,
            request_bytes + self.reader.held_bytes(),
            self.guard.now_s(),
        )
        if has_room:
            self.request_bytes = request_bytes
        end_all(ended)
        return has_room

    def end_for_connection(self) -> None:
        """End the connection, as another client needs one."""
        if not self.is_closing:
            self.report("connections")
        self.abort()

    def end_for_memory(self) -> None:
        """End the connection, as memory is short; its request never runs."""
        if not self.is_closing:
            self.report("memory")
        if (
            self.is_closing
            or self.reader.is_idle()
            or not writes.may_write(self.transport)
        ):
            self.abort()
            return
        self.end(http_responses.REFUSED_FOR_MEMORY)


def end_all(clients: collections.abc.Iterable[client_budget.Client]) -> None:
    """End the connections that the budget has chosen."""
    for client in clients:
        client.owner.end_for_memory()


class Site(protocol.Factory):
    """Accepts the connections of clients of a port."""

    noisy = False

    def __init__(
        self,
        handler: Handler,
        *,
        guard: client_guard.ClientGuard | None = None,
        port: str = client_guard.CALLERS,
    ) -> None:
        self.handler = handler
        self.guard = guard or client_guard.ClientGuard()
        self.port = port
        self.wanted = handler.wanted_headers()
        self.guard.budget.add_port(
            port, is_for_callers=port == client_guard.CALLERS
        )

    def buildProtocol(  # noqa: N802
        self, addr: typing.Any
    ) -> Connection | None:
        """Return the protocol of a new connection, ``None`` to refuse it.

        When the port has no connection left, another one is ended if it has
        no request that is being handled.
        """
        now_s = self.guard.now_s()
        address = "" if addr is None else addr.host
        victim = self.guard.budget.make_room(self.port, now_s)
        if victim is not None:
            victim.owner.end_for_connection()
        elif not self.guard.budget.has_room(self.port):
            self.guard.report(
                "connections", now_s, port=self.port, client=address
            )
            return None
        connection = Connection(self, address)
        connection.factory = self
        return connection
