"""HTTP/1.1 exchanges with one server over persistent connections.

twisted's agent takes several times as long for a request, with ten system
calls more, which counts in a process that makes some eighty a second.
"""

import collections.abc
import dataclasses
import typing

import httptools
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.python import failure

from _jasminewind.wire import writes

CONNECT_TIMEOUT_S = 1.0
# Below the idle timeout of common servers (60 s), so that a request is
# rarely sent on a connection that the server is closing.
IDLE_CONNECTION_S = 20
MAX_BODY_BYTES = 8 << 20
FIRST_FINAL_STATUS = 200

Headers = collections.abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """Status and undecoded body of a response."""

    status: int
    body: bytes


class ResponseLostError(Exception):
    """The connection ended, or sent no HTTP, before the response was read."""


class Exchange:
    """A request and the Deferred of its response.

    Cancelling the Deferred aborts the connection, so that the next request
    does not use a silent one.
    """

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.connecting: defer.Deferred[typing.Any] | None = None
        self.connection: Connection | None = None
        self.response: defer.Deferred[Response] = defer.Deferred(self.cancel)

    def cancel(self, response: defer.Deferred[Response]) -> None:
        """Stop waiting for the response."""
        del response
        if self.connection is not None:
            self.connection.abandon()
        elif self.connecting is not None:
            self.connecting.cancel()

    def fail(self, reason: failure.Failure | Exception) -> None:
        """End without a response, unless it was cancelled."""
        if not self.response.called:
            self.response.errback(reason)


class Connection(protocol.Protocol):
    """One connection, with at most one exchange at a time."""

    def __init__(self, pool: "ConnectionPool") -> None:
        self.pool = pool
        self.exchange: Exchange | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.size = 0
        self.has_length = False
        self.finished: Response | None = None
        self.may_keep = False
        self.idle_since_s = 0.0
        self.closed: defer.Deferred[None] = defer.Deferred()

    def start(self, exchange: Exchange) -> None:
        """Send a request."""
        self.exchange = exchange
        exchange.connection = self
        writes.write_at_once(self.transport, exchange.data)

    def abandon(self) -> None:
        """Abort the connection without ending the exchange."""
        self.exchange = None
        self.pool.forget(self)
        typing.cast(typing.Any, self.transport).abortConnection()

    def fail(self, reason: str) -> None:
        """Abort the connection and fail the exchange."""
        exchange = self.exchange
        self.abandon()
        if exchange is not None:
            exchange.fail(ResponseLostError(reason))

    # twisted defines the name.
    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of a response."""
        if self.exchange is None:
            # Nothing was asked for.
            self.abandon()
            return
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.may_keep = False
            if self.finished is None:
                self.fail(f"malformed response: {error}")
        if self.finished is not None:
            self.finish(self.finished)

    def finish(self, response: Response) -> None:
        """End the exchange, and keep the connection if it may be used."""
        exchange, self.exchange = self.exchange, None
        self.finished = None
        if self.may_keep:
            self.pool.keep(self)
        else:
            typing.cast(typing.Any, self.transport).loseConnection()
        if exchange is not None:
            exchange.response.callback(response)

    # The parser defines these names.

    def on_message_begin(self) -> None:
        """Begin a response; one more than was asked for is not used."""
        if self.finished is not None:
            self.may_keep = False
            return
        self.parts.clear()
        self.size = 0
        self.has_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the response names the length of its body."""
        del value
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.has_length = True

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self.size += len(data)
        if self.size > MAX_BODY_BYTES:
            self.parts.clear()
            self.fail(f"the response is too long: {self.size} bytes or more")
            return
        self.parts.append(data)

    def on_message_complete(self) -> None:
        """Note the response, which is delivered after all of the data."""
        status = self.parser.get_status_code()
        if self.exchange is None or self.finished is not None:
            return
        if status < FIRST_FINAL_STATUS:
            return
        self.may_keep = self.parser.should_keep_alive()
        self.finished = Response(status=status, body=b"".join(self.parts))
        self.parts.clear()

    # twisted defines the name.
    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Fail the exchange, unless its body ends with the connection."""
        self.pool.forget(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None and not exchange.response.called:
            if self.parts and not self.has_length:
                exchange.response.callback(
                    Response(
                        status=self.parser.get_status_code(),
                        body=b"".join(self.parts),
                    )
                )
            else:
                exchange.fail(ResponseLostError(reason.getErrorMessage()))
        self.closed.callback(None)


class ConnectionPool:
    """Connections to one server; idle ones are used again."""

    def __init__(
        self, *, reactor: typing.Any, host: str, port: int, max_idle: int
    ) -> None:
        self.reactor = reactor
        self.host = host
        self.port = port
        self.max_idle = max_idle
        self.idle: list[Connection] = []

    def send(
        self, method: str, path: str, data: bytes, headers: Headers
    ) -> defer.Deferred[Response]:
        """Send a request once; return its response."""
        exchange = Exchange(self.encode(method, path, data, headers))
        connection = self.take_idle()
        if connection is not None:
            connection.start(exchange)
            return exchange.response
        endpoint = endpoints.TCP4ClientEndpoint(
            self.reactor, self.host, self.port, timeout=CONNECT_TIMEOUT_S
        )
        exchange.connecting = endpoints.connectProtocol(
            endpoint, Connection(self)
        )
        exchange.connecting.addCallback(self.on_connected, exchange)
        exchange.connecting.addErrback(exchange.fail)
        return exchange.response

    def on_connected(self, connection: Connection, exchange: Exchange) -> None:
        """Send the request, unless it was cancelled."""
        if exchange.response.called:
            self.keep(connection)
        else:
            connection.start(exchange)

    def encode(
        self, method: str, path: str, data: bytes, headers: Headers
    ) -> bytes:
        """Return the bytes of a request."""
        lines = [f"{method} {path} HTTP/1.1"]
        if "host" not in headers:
            lines.append(f"host: {self.host}:{self.port}")
        for name, value in headers.items():
            lines.append(f"{name}: {' '.join(value.splitlines())}")
        if data or method != "GET":
            lines.append(f"content-length: {len(data)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + data

    def take_idle(self) -> Connection | None:
        """Return the connection that was used last, if it is fresh."""
        now_s = self.reactor.seconds()
        while self.idle:
            connection = self.idle.pop()
            if now_s - connection.idle_since_s <= IDLE_CONNECTION_S:
                return connection
            connection.abandon()
        return None

    def keep(self, connection: Connection) -> None:
        """Keep an idle connection for the next exchange."""
        if len(self.idle) >= self.max_idle:
            typing.cast(typing.Any, connection.transport).loseConnection()
            return
        connection.idle_since_s = self.reactor.seconds()
        self.idle.append(connection)

    def forget(self, connection: Connection) -> None:
        """Forget a connection that was closed."""
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> defer.Deferred[typing.Any]:
        """Close the idle connections."""
        closing, self.idle = self.idle, []
        for connection in closing:
            typing.cast(typing.Any, connection.transport).loseConnection()
        return defer.DeferredList([each.closed for each in closing])
