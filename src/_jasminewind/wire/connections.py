"""TCP connection between two processes: handshake, frames and pings."""

import abc
import collections.abc
import typing

import automat
from twisted.internet import protocol
from twisted.protocols import basic

from _jasminewind import errors
from _jasminewind import members
from _jasminewind.messages import links as link_messages
from _jasminewind.wire import compression
from _jasminewind.wire import frames
from _jasminewind.wire import writes

LENGTH_PREFIX_BYTES = 4


class ConnectionOwner(abc.ABC):
    """Receives the events of its connections."""

    hello: link_messages.Hello

    @abc.abstractmethod
    def connection_ready(self, connection: "Connection") -> None:
        """Both sides have accepted the ``Hello`` of the other."""

    @abc.abstractmethod
    def connection_message(
        self, connection: "Connection", message: object
    ) -> None:
        """The peer of a ready connection has sent a message."""

    def connection_unreadable(
        self, connection: "Connection", error: errors.WireError
    ) -> None:
        """The peer of a ready connection has sent an unreadable message."""
        connection.close(error.reason)

    @abc.abstractmethod
    def connection_closed(self, connection: "Connection", reason: str) -> None:
        """The connection is closed."""

    @abc.abstractmethod
    def connection_unsent(self, connection: "Connection") -> None:
        """A message waits for :meth:`Connection.flush`."""

    @abc.abstractmethod
    def seconds(self) -> float:
        """Return monotonic seconds."""


class Lifecycle:
    """State machine of a connection: handshake, ready, closed."""

    machine = automat.MethodicalMachine()

    def __init__(
        self,
        *,
        on_ready: collections.abc.Callable[[], None],
        on_closed: collections.abc.Callable[[str], None],
    ) -> None:
        self.on_ready = on_ready
        self.on_closed = on_closed

    @machine.state(initial=True)
    def handshake(self) -> None:
        """The peer has not identified itself yet."""

    @machine.state()
    def ready(self) -> None:
        """The peer has identified itself."""

    @machine.state()
    def closed(self) -> None:
        """The connection is closed for good."""

    @machine.input()
    def hello_accepted(self) -> None:
        """The peer has sent an acceptable ``Hello``."""

    @machine.input()
    def connection_lost(self, reason: str) -> None:
        """Either side has closed the connection."""

    @machine.output()
    def report_ready(self) -> None:
        """Report that the connection is ready."""
        self.on_ready()

    @machine.output()
    def report_closed(self, reason: str) -> None:
        """Report that the connection is closed."""
        self.on_closed(reason)

    handshake.upon(hello_accepted, enter=ready, outputs=[report_ready])
    handshake.upon(connection_lost, enter=closed, outputs=[report_closed])
    ready.upon(hello_accepted, enter=ready, outputs=[])
    ready.upon(connection_lost, enter=closed, outputs=[report_closed])
    closed.upon(hello_accepted, enter=closed, outputs=[])
    closed.upon(connection_lost, enter=closed, outputs=[])


class Connection(basic.Int32StringReceiver):
    """Frames over one TCP connection, with a handshake and pings.

    ``expected`` is the process that the connecting side wants to reach, and
    ``None`` on the accepting side.
    """

    # twisted defines the name.
    MAX_LENGTH = frames.MAX_FRAME_BYTES

    def __init__(
        self, *, owner: ConnectionOwner, expected: members.NodeId | None
    ) -> None:
        self.owner = owner
        self.expected = expected
        self.peer_hello: link_messages.Hello | None = None
        self.is_ready = False
        self.was_ready = False
        self.last_received_s = owner.seconds()
        self.ping_sent_s: float | None = None
        # Set once the peer has announced that it accepts compression.
        self.compressor: compression.Compressor | None = None
        self.decompressor = compression.Decompressor()
        self.unsent: list[bytes] = []
        self.bytes_in = 0
        self.bytes_out = 0
        self.close_reason = "the peer closed the connection"
        self.lifecycle = Lifecycle(
            on_ready=self._on_ready, on_closed=self._on_closed
        )

    def connectionMade(self) -> None:  # noqa: N802
        """Send the ``Hello`` of this process."""
        transport = typing.cast(typing.Any, self.transport)
        transport.setTcpNoDelay(True)
        self.send(self.owner.hello)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Decode and handle one frame."""
        self.bytes_in += LENGTH_PREFIX_BYTES + len(string)
        self.last_received_s = self.owner.seconds()
        self.ping_sent_s = None
        decoded = self.decompressor.restore(string).and_then(frames.decode)
        if decoded.is_ok():
            self._receive(decoded.unwrap())
            return
        error = decoded.unwrap_err()
        if self.is_ready and error.message_type:
            self.owner.connection_unreadable(self, error)
        else:
            self.close(error.reason)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close the connection on a frame above the limit."""
        self.close(f"frame of {length} bytes is above the limit")

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = protocol.connectionDone
    ) -> None:
        """Report the end of the connection."""
        self.lifecycle.connection_lost(self.close_reason)

    def send(self, message: object) -> bool:
        """Send one message; return false if it is above the frame limit.

        The peer would close the connection on such a frame and lose every
        other message on it.
        """
        payload = frames.encode(message)
        if len(payload) > frames.MAX_FRAME_BYTES:
            return False
        if self.compressor is not None:
            payload = self.compressor.compress(payload)
        self.bytes_out += LENGTH_PREFIX_BYTES + len(payload)
        self.unsent.append(len(payload).to_bytes(LENGTH_PREFIX_BYTES, "big"))
        self.unsent.append(payload)
        self.owner.connection_unsent(self)
        return True

    def flush(self) -> None:
        """Write the messages that were sent since the last call."""
        data = b"".join(self.unsent)
        self.unsent.clear()
        if data and self.transport is not None:
            writes.write_at_once(self.transport, data)

    def ping(self, now_s: float) -> None:
        """Ping the peer."""
        self.ping_sent_s = now_s
        self.send(link_messages.Ping(nonce=int(now_s * 1000)))

    def excuse_silence(self, for_s: float) -> None:
        """Move the time of the last message or ping by ``for_s`` seconds."""
        self.last_received_s += for_s
        if self.ping_sent_s is not None:
            self.ping_sent_s += for_s

    def close(self, reason: str) -> None:
        """Abort the connection at once."""
        self.close_reason = reason
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).abortConnection()

    def peer_node(self) -> members.NodeId | None:
        """Return the identity of the peer, ``None`` before its ``Hello``."""
        return None if self.peer_hello is None else self.peer_hello.sender

    def peer_address(self) -> members.Address:
        """Return the address at which the peer accepts links."""
        return (
            members.NO_ADDRESS
            if self.peer_hello is None
            else self.peer_hello.address
        )

    def _receive(self, message: object) -> None:
        if isinstance(message, link_messages.Ping):
            self.send(link_messages.Pong(nonce=message.nonce))
        elif isinstance(message, link_messages.Pong):
            return
        elif isinstance(message, link_messages.Hello):
            self._on_hello(message)
        elif isinstance(message, link_messages.HelloRefused):
            self.close(f"the peer refused the link: {message.reason}")
        elif self.is_ready:
            self.owner.connection_message(self, message)
        else:
            self.close("the peer sent a message before its Hello")

    def _on_hello(self, hello: link_messages.Hello) -> None:
        if hello.protocol_version != link_messages.PROTOCOL_VERSION:
            reason = (
                f"protocol version {hello.protocol_version}, expected "
                f"{link_messages.PROTOCOL_VERSION}; upgrade the older process"
            )
            self.send(link_messages.HelloRefused(reason=reason))
            self.close_reason = reason
            typing.cast(typing.Any, self.transport).loseConnection()
            return
        if self.peer_hello not in (None, hello):
            self.close("the peer sent another Hello")
            return
        self.peer_hello = hello
        if hello.accepts_compression and self.compressor is None:
            self.compressor = compression.Compressor()
        self.lifecycle.hello_accepted()

    def _on_ready(self) -> None:
        self.is_ready = True
        self.was_ready = True
        self.owner.connection_ready(self)

    def _on_closed(self, reason: str) -> None:
        self.is_ready = False
        self.owner.connection_closed(self, reason)
