"""Minimal HTTP/1.1 client: a keep-alive pool without pipelining."""

import collections.abc
import dataclasses
import typing

from twisted.internet import protocol

CONNECT_TIMEOUT_S = 2.0
HEADERS_END = b"\r\n\r\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """Status and body of a response; status 0 means that none arrived.

    ``is_sent`` is false only if the request never reached the server.
    """

    status: int
    body: bytes = b""
    is_sent: bool = True


ResponseCallback = collections.abc.Callable[[Response], None]


class Connection(protocol.Protocol):
    """A keep-alive connection with at most one request in flight.

    Parses only responses with a ``Content-Length``, which entries always
    send.
    """

    def __init__(
        self, pool: "Pool", request: bytes, on_response: ResponseCallback
    ) -> None:
        self.pool = pool
        self.initial_request = request
        self.buffer = b""
        self.on_response: ResponseCallback | None = on_response

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request for which this connection was opened."""
        transport = typing.cast(typing.Any, self.transport)
        transport.setTcpNoDelay(True)
        self.pool.connections.add(self)
        transport.write(self.initial_request)
        self.initial_request = b""

    def call(self, request: bytes, on_response: ResponseCallback) -> None:
        """Send one request."""
        self.on_response = on_response
        typing.cast(typing.Any, self.transport).write(request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Buffer data and pass on the response once it is complete."""
        self.buffer += data
        headers_end = self.buffer.find(HEADERS_END)
        if headers_end < 0:
            return
        headers = self.buffer[:headers_end]
        length = content_length(headers)
        body_start = headers_end + len(HEADERS_END)
        if len(self.buffer) < body_start + length:
            return
        body = self.buffer[body_start : body_start + length]
        self.buffer = b""
        on_response = self.on_response
        self.on_response = None
        self.pool.release(self)
        if on_response is not None:
            on_response(Response(status=int(headers[9:12]), body=body))

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = protocol.connectionDone
    ) -> None:
        """Report status 0 if a response was outstanding."""
        on_response = self.on_response
        self.on_response = None
        self.pool.remove(self)
        if on_response is not None:
            on_response(Response(status=0))


def content_length(headers: bytes) -> int:
    """Return the value of ``Content-Length``, 0 without that header."""
    for line in headers.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


class ConnectionFactory(protocol.ClientFactory):
    """Opens one connection to send one request."""

    noisy = False

    def __init__(
        self, pool: "Pool", request: bytes, on_response: ResponseCallback
    ) -> None:
        self.pool = pool
        self.request = request
        self.on_response = on_response

    def buildProtocol(self, addr: typing.Any) -> Connection:  # noqa: N802
        """Return a connection that sends the request once connected."""
        return Connection(self.pool, self.request, self.on_response)

    def clientConnectionFailed(  # noqa: N802
        self, connector: typing.Any, reason: typing.Any
    ) -> None:
        """Report that the request was not sent."""
        self.on_response(Response(status=0, is_sent=False))


class Pool:
    """Pool of keep-alive connections to one server."""

    def __init__(self, *, reactor: typing.Any, host: str, port: int) -> None:
        self.reactor = reactor
        self.host = host
        self.port = port
        self.idle: list[Connection] = []
        self.connections: set[Connection] = set()

    def call(
        self, path: str, body: bytes, on_response: ResponseCallback
    ) -> None:
        """POST ``body`` and pass the response to ``done``."""
        request = (
            f"POST {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        if self.idle:
            self.idle.pop().call(request, on_response)
            return
        self.reactor.connectTCP(
            self.host,
            self.port,
            ConnectionFactory(self, request, on_response),
            timeout=CONNECT_TIMEOUT_S,
        )

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool after a complete response."""
        self.idle.append(connection)

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection from the pool."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        """Abort every connection."""
        for connection in list(self.connections):
            typing.cast(typing.Any, connection.transport).abortConnection()
