"""A lean HTTP client: one call at a time on each kept connection."""

import collections.abc
import dataclasses
import typing

from twisted.internet import protocol

CONNECT_TIMEOUT_S = 2.0
HEADER_END = b"\r\n\r\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """Status and body of a call; status 0 means that there is none.

    ``is_sent`` is false when the call certainly did not reach the server.
    """

    status: int
    body: bytes = b""
    is_sent: bool = True


Done = collections.abc.Callable[[Response], None]


class Channel(protocol.Protocol):
    """A connection that carries one call at a time.

    It understands only responses with a ``Content-Length``, as our entries
    send them.
    """

    def __init__(self, pool: "Pool", request: bytes, done: Done) -> None:
        self.pool = pool
        self.first = request
        self.buffer = b""
        self.done: Done | None = done

    def connectionMade(self) -> None:  # noqa: N802
        """Send the call that opened this connection."""
        transport = typing.cast(typing.Any, self.transport)
        transport.setTcpNoDelay(True)
        self.pool.all.add(self)
        transport.write(self.first)
        self.first = b""

    def call(self, request: bytes, done: Done) -> None:
        """Send one call."""
        self.done = done
        typing.cast(typing.Any, self.transport).write(request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collect a response and report it when it is whole."""
        self.buffer += data
        head_end = self.buffer.find(HEADER_END)
        if head_end < 0:
            return
        head = self.buffer[:head_end]
        length = content_length(head)
        begin = head_end + len(HEADER_END)
        if len(self.buffer) < begin + length:
            return
        body = self.buffer[begin : begin + length]
        self.buffer = b""
        done = self.done
        self.done = None
        self.pool.finished(self)
        if done is not None:
            done(Response(status=int(head[9:12]), body=body))

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = protocol.connectionDone
    ) -> None:
        """Report the loss of the answer, if one was due."""
        done = self.done
        self.done = None
        self.pool.lost(self)
        if done is not None:
            done(Response(status=0))


def content_length(head: bytes) -> int:
    """Return the length of the body after these headers."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


class Connector(protocol.ClientFactory):
    """Opens one connection for one call."""

    noisy = False

    def __init__(self, pool: "Pool", request: bytes, done: Done) -> None:
        self.pool = pool
        self.request = request
        self.done = done

    def buildProtocol(self, addr: typing.Any) -> Channel:  # noqa: N802
        """Return the new connection."""
        return Channel(self.pool, self.request, self.done)

    def clientConnectionFailed(  # noqa: N802
        self, connector: typing.Any, reason: typing.Any
    ) -> None:
        """Report that the call was not sent."""
        self.done(Response(status=0, is_sent=False))


class Pool:
    """Kept connections to one server."""

    def __init__(self, *, reactor: typing.Any, host: str, port: int) -> None:
        self.reactor = reactor
        self.host = host
        self.port = port
        self.idle: list[Channel] = []
        self.all: set[Channel] = set()

    def call(self, path: str, body: bytes, done: Done) -> None:
        """POST ``body`` and pass the response to ``done``."""
        request = (
            f"POST {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        if self.idle:
            self.idle.pop().call(request, done)
            return
        self.reactor.connectTCP(
            self.host,
            self.port,
            Connector(self, request, done),
            timeout=CONNECT_TIMEOUT_S,
        )

    def finished(self, channel: Channel) -> None:
        """Keep a connection whose response is complete."""
        self.idle.append(channel)

    def lost(self, channel: Channel) -> None:
        """Forget a closed connection."""
        self.all.discard(channel)
        if channel in self.idle:
            self.idle.remove(channel)

    def close(self) -> None:
        """Close every connection."""
        for channel in list(self.all):
            typing.cast(typing.Any, channel.transport).abortConnection()
