"""Links of a process: persistent connections to its peers."""

import abc
import collections
import dataclasses
import typing

from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol

from _jasminewind import errors
from _jasminewind import members
from _jasminewind import timers
from _jasminewind.decisions import core
from _jasminewind.messages import links as link_messages
from _jasminewind.wire import connections
from _jasminewind.wire import probes

MAX_PENDING_MESSAGES = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinkTimeouts:
    """Timeouts of links, in seconds.

    A link without traffic for ``ping_after_s`` is pinged, and closed if
    nothing arrives within ``ping_timeout_s``.
    """

    connect_timeout_s: float = 2.0
    handshake_timeout_s: float = 2.0
    ping_after_s: float = 2.0
    ping_timeout_s: float = 2.0
    check_period_s: float = 0.5


class LinkOwner(abc.ABC):
    """Receives the messages and failures of links."""

    @abc.abstractmethod
    def link_message(self, sender: members.NodeId, message: object) -> None:
        """Handle a message from a peer."""

    def link_unreadable(
        self, peer: members.NodeId, error: errors.WireError
    ) -> bool:
        """Return whether a message that cannot be read is passed over.

        Otherwise the link is closed, which tells both sides of the loss.
        """
        del peer, error
        return False

    @abc.abstractmethod
    def link_lost(self, peer: members.NodeId) -> None:
        """Handle a closed link; messages sent on it may be lost."""

    @abc.abstractmethod
    def send_failed(self, peer: members.NodeId, message: object) -> None:
        """Handle a message that was provably not sent."""


class PendingMessages:
    """Messages queued until a connection to a peer is ready."""

    def __init__(self) -> None:
        self.messages: collections.deque[object] = collections.deque()
        self.connection: connections.Connection | None = None


PeerKey = members.NodeId | members.Address


def remove_connection(
    index: dict[typing.Any, list[connections.Connection]],
    key: typing.Any,
    connection: connections.Connection,
) -> bool:
    """Remove ``connection`` from the index; return if it was there."""
    indexed = index.get(key, [])
    if connection not in indexed:
        return False
    indexed.remove(connection)
    if not indexed:
        del index[key]
    return True


class Links(connections.ConnectionOwner):
    """Links of one process, by peer."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        timer_service: timers.TimerService,
        hello: link_messages.Hello,
        owner: LinkOwner,
        timeouts: LinkTimeouts = LinkTimeouts(),
    ) -> None:
        self.reactor = reactor
        self.timers = timer_service
        self.hello = hello
        self.owner = owner
        self.timeouts = timeouts
        self.ready_by_node: dict[
            members.NodeId, list[connections.Connection]
        ] = {}
        self.ready_by_address: dict[
            members.Address, list[connections.Connection]
        ] = {}
        self.pending: dict[PeerKey, PendingMessages] = {}
        self.open_connections: set[connections.Connection] = set()
        # Connections whose messages wait for the end of a batch.
        self.unsent: dict[connections.Connection, None] = {}
        self.batches = 0
        self.port: typing.Any = None
        self.closed_bytes_in = 0
        self.closed_bytes_out = 0
        self.sent: collections.Counter[str] = collections.Counter()
        self.is_stopping = False
        self.last_check_s = self.seconds()
        self.check_subscription = timer_service.every(
            timeouts.check_period_s, self._check_connections
        )

    def listen(self) -> typing.Any:
        """Accept links at the address of the ``Hello``."""
        factory = protocol.Factory.forProtocol(
            lambda: self._new_connection(expected=None)
        )
        endpoint = endpoints.TCP4ServerEndpoint(
            self.reactor,
            self.hello.address.port,
            backlog=1024,
            interface=self.hello.address.host,
        )
        return endpoint.listen(factory).addCallback(self._store_port)

    def send(
        self, to: members.NodeId, address: members.Address, message: object
    ) -> None:
        """Send ``message`` once to ``to``, opening a link if needed.

        ``members.UNNAMED`` means whichever process is at ``address``;
        ``members.NO_ADDRESS`` means to use only a link that is ready.
        """
        connection = self._ready_connection(to, address)
        if connection is not None:
            self._send_on(to, connection, message)
        elif address == members.NO_ADDRESS:
            self._report_unsent(to, message)
        else:
            self._enqueue(to, address, message)

    def begin_batch(self) -> None:
        """Hold messages back, so that those to one peer leave together."""
        self.batches += 1

    def end_batch(self) -> None:
        """Write the messages of the outermost batch."""
        self.batches -= 1
        if not self.batches:
            unsent, self.unsent = self.unsent, {}
            for connection in unsent:
                connection.flush()

    def connection_unsent(self, connection: connections.Connection) -> None:
        """Write a message now, or at the end of the batch."""
        if self.batches:
            self.unsent[connection] = None
        else:
            connection.flush()

    def _send_on(
        self,
        to: members.NodeId,
        connection: connections.Connection,
        message: object,
    ) -> None:
        if not connection.send(message):
            self._report_unsent(to, message)
            return
        self.sent[type(message).__name__] += 1

    def _ready_connection(
        self, to: members.NodeId, address: members.Address
    ) -> connections.Connection | None:
        if to == members.UNNAMED:
            candidates = self.ready_by_address.get(address)
        else:
            candidates = self.ready_by_node.get(to)
        # The peer has opened a newer connection because an older one failed
        # for it. This process may not have noticed that yet.
        return candidates[-1] if candidates else None

    def _report_unsent(self, to: members.NodeId, message: object) -> None:
        self.timers.after(0, lambda now: self.owner.send_failed(to, message))

    def is_linked(self, peer: members.NodeId) -> bool:
        """Return whether a link to ``peer`` is ready."""
        return bool(self.ready_by_node.get(peer))

    def probe(
        self, to: members.NodeId, address: members.Address
    ) -> typing.Any:
        """Probe ``address``; return a Deferred of ``core.ProbeReply``."""
        return probes.probe(self.reactor, to, address)

    def traffic(self) -> tuple[int, int]:
        """Return the bytes received and sent since the start."""
        received = sum(c.bytes_in for c in self.open_connections)
        sent = sum(c.bytes_out for c in self.open_connections)
        return self.closed_bytes_in + received, self.closed_bytes_out + sent

    def sent_counts(self) -> dict[str, int]:
        """Return the messages written since the start, by type."""
        return dict(self.sent)

    def stop(self) -> None:
        """Close all links and accept no new ones."""
        self.is_stopping = True
        self.check_subscription.cancel()
        if self.port is not None:
            self.port.stopListening()
        for connection in list(self.open_connections):
            if connection.transport is None:
                # Still connecting; connection_ready() closes it.
                continue
            # A graceful close still delivers written messages.
            connection.flush()
            typing.cast(typing.Any, connection.transport).loseConnection()

    def seconds(self) -> float:
        """Return monotonic seconds."""
        return self.timers.clock.seconds()

    def connection_ready(self, connection: connections.Connection) -> None:
        """Register the connection and send the messages queued for it."""
        if self.is_stopping:
            connection.close("this process is shutting down")
            return
        node = connection.peer_node()
        assert node is not None
        address = connection.peer_address()
        self.ready_by_node.setdefault(node, []).append(connection)
        self.ready_by_address.setdefault(address, []).append(connection)
        for key in (node, address):
            pending = self.pending.pop(key, PendingMessages())
            for message in pending.messages:
                self._send_on(node, connection, message)
        expected = connection.expected
        if expected not in (None, members.UNNAMED, node):
            # Another incarnation runs at this address; the expected one can
            # no longer be reached there.
            self._fail_pending(
                expected, expected, self.pending.get(expected), connection
            )

    def connection_message(
        self, connection: connections.Connection, message: object
    ) -> None:
        """Pass a message and its sender to the owner."""
        node = connection.peer_node()
        assert node is not None
        self.owner.link_message(node, message)

    def connection_unreadable(
        self, connection: connections.Connection, error: errors.WireError
    ) -> None:
        """Close the connection, unless the owner passes the message over."""
        node = connection.peer_node()
        assert node is not None
        if not self.owner.link_unreadable(node, error):
            connection.close(error.reason)

    def connection_closed(
        self, connection: connections.Connection, reason: str
    ) -> None:
        """Drop the connection and report the lost link."""
        self.open_connections.discard(connection)
        self.closed_bytes_in += connection.bytes_in
        self.closed_bytes_out += connection.bytes_out
        if not connection.was_ready and connection.expected is not None:
            self._on_handshake_failed(connection)
        node = connection.peer_node()
        if node is None:
            return
        was_ready = remove_connection(self.ready_by_node, node, connection)
        remove_connection(
            self.ready_by_address, connection.peer_address(), connection
        )
        if was_ready and not self.is_stopping:
            self.owner.link_lost(node)

    def _on_handshake_failed(self, connection: connections.Connection) -> None:
        """Fail the messages queued for a connection that was never ready."""
        for key, pending in list(self.pending.items()):
            if pending.connection is connection:
                to = connection.expected
                assert to is not None
                self._fail_pending(to, key, pending, connection)

    def _store_port(self, port: typing.Any) -> typing.Any:
        self.port = port
        return port

    def _new_connection(
        self, *, expected: members.NodeId | None
    ) -> connections.Connection:
        connection = connections.Connection(owner=self, expected=expected)
        self.open_connections.add(connection)
        return connection

    def _enqueue(
        self, to: members.NodeId, address: members.Address, message: object
    ) -> None:
        key = address if to == members.UNNAMED else to
        pending = self.pending.get(key)
        if pending is None:
            pending = self.pending[key] = PendingMessages()
            self._connect(to, key, address)
        if len(pending.messages) >= MAX_PENDING_MESSAGES:
            self._report_unsent(to, message)
            return
        pending.messages.append(message)

    def _connect(
        self, to: members.NodeId, key: PeerKey, address: members.Address
    ) -> None:
        connection = self._new_connection(expected=to)
        pending = self.pending[key]
        pending.connection = connection
        endpoint = endpoints.TCP4ClientEndpoint(
            self.reactor,
            address.host,
            address.port,
            timeout=self.timeouts.connect_timeout_s,
            bindAddress=(self.hello.address.host, 0),
        )
        connecting = endpoints.connectProtocol(endpoint, connection)
        connecting.addErrback(
            self._on_connect_failed, to, key, pending, connection
        )
        self.timers.after(
            self.timeouts.connect_timeout_s
            + self.timeouts.handshake_timeout_s,
            lambda now: self._fail_pending(to, key, pending, connection),
        )

    def _on_connect_failed(
        self,
        failure: typing.Any,
        to: members.NodeId,
        key: PeerKey,
        pending: PendingMessages,
        connection: connections.Connection,
    ) -> None:
        failure.trap(error.ConnectError, error.ConnectionAborted)
        self.open_connections.discard(connection)
        self._fail_pending(to, key, pending, connection)

    def _fail_pending(
        self,
        to: members.NodeId,
        key: PeerKey,
        pending: PendingMessages | None,
        connection: connections.Connection,
    ) -> None:
        if pending is None or self.pending.get(key) is not pending:
            return
        del self.pending[key]
        if not connection.is_ready:
            connection.close("no Hello from the expected process in time")
        if self.is_stopping:
            return
        for message in pending.messages:
            self.owner.send_failed(to, message)

    def _check_connections(self, now: core.Instant) -> None:
        late_s = now.mono_s - self.last_check_s - self.timeouts.check_period_s
        self.last_check_s = now.mono_s
        if late_s > self.timeouts.check_period_s:
            # This process was paused or busy; what the peers have sent
            # meanwhile is read before their silence counts.
            for connection in self.open_connections:
                connection.excuse_silence(late_s)
            return
        for connection in list(self.open_connections):
            self._check_connection(connection, now.mono_s)

    def _check_connection(
        self, connection: connections.Connection, now_s: float
    ) -> None:
        if connection.transport is None:
            return
        silent_s = now_s - connection.last_received_s
        if not connection.is_ready:
            if silent_s > self.timeouts.handshake_timeout_s:
                connection.close("no Hello in time")
        elif connection.ping_sent_s is not None:
            waited_s = now_s - connection.ping_sent_s
            if waited_s > self.timeouts.ping_timeout_s:
                connection.close("no response to a ping; the link is silent")
        elif silent_s > self.timeouts.ping_after_s:
            connection.ping(now_s)
