"""The links of a process: persistent connections to its peers."""

import abc
import collections
import dataclasses
import typing

from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol

from _jasminewind import members
from _jasminewind import timers
from _jasminewind.decisions import core
from _jasminewind.messages import links as link_messages
from _jasminewind.wire import connections
from _jasminewind.wire import probes

MAX_WAITING_MESSAGES = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinkTimeouts:
    """Time limits of links, in seconds.

    A link that is silent for ``ping_after_s`` is probed, and replaced when
    the probe is not answered within ``ping_timeout_s``.
    """

    connect_timeout_s: float = 2.0
    handshake_timeout_s: float = 2.0
    ping_after_s: float = 2.0
    ping_timeout_s: float = 2.0
    check_period_s: float = 0.5


class LinkOwner(abc.ABC):
    """The node that the links serve."""

    @abc.abstractmethod
    def link_message(self, sender: members.NodeId, message: object) -> None:
        """Handle a message from a peer."""

    @abc.abstractmethod
    def link_lost(self, peer: members.NodeId) -> None:
        """Handle the loss of a link; messages on it may be lost."""

    @abc.abstractmethod
    def send_failed(self, peer: members.NodeId, message: object) -> None:
        """Handle a message that certainly was not sent."""


class Waiting:
    """Messages that wait until a connection to a peer is ready."""

    def __init__(self) -> None:
        self.messages: collections.deque[object] = collections.deque()
        self.connection: connections.Connection | None = None


Key = members.NodeId | members.Address


def remove(
    index: dict[typing.Any, list[connections.Connection]],
    key: typing.Any,
    connection: connections.Connection,
) -> bool:
    """Remove ``connection`` from the list at ``key``; tell if it was there."""
    found = index.get(key, [])
    if connection not in found:
        return False
    found.remove(connection)
    if not found:
        del index[key]
    return True


class Links(connections.Owner):
    """All links of one process, by peer."""

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
        self.ready: dict[members.NodeId, list[connections.Connection]] = {}
        self.ready_at: dict[members.Address, list[connections.Connection]] = {}
        self.waiting: dict[Key, Waiting] = {}
        self.open: set[connections.Connection] = set()
        self.port: typing.Any = None
        self.closed_bytes_in = 0
        self.closed_bytes_out = 0
        self.sent: collections.Counter[str] = collections.Counter()
        self.is_stopping = False
        self.checks = timer_service.every(timeouts.check_period_s, self._check)

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
        return endpoint.listen(factory).addCallback(self._keep_port)

    def send(
        self, to: members.NodeId, address: members.Address, message: object
    ) -> None:
        """Send ``message`` once to ``to``, opening a link if needed.

        ``members.UNNAMED`` stands for whatever process is at ``address``;
        ``members.NO_ADDRESS`` allows only a link that is ready.
        """
        connection = self._ready_connection(to, address)
        if connection is not None:
            self._write(to, connection, message)
        elif address == members.NO_ADDRESS:
            self._fail_later(to, message)
        else:
            self._wait(to, address, message)

    def _write(
        self,
        to: members.NodeId,
        connection: connections.Connection,
        message: object,
    ) -> None:
        if not connection.send(message):
            self._fail_later(to, message)
            return
        self.sent[type(message).__name__] += 1

    def _ready_connection(
        self, to: members.NodeId, address: members.Address
    ) -> connections.Connection | None:
        if to == members.UNNAMED:
            established = self.ready_at.get(address)
        else:
            established = self.ready.get(to)
        return established[0] if established else None

    def _fail_later(self, to: members.NodeId, message: object) -> None:
        self.timers.after(0, lambda now: self.owner.send_failed(to, message))

    def is_linked(self, peer: members.NodeId) -> bool:
        """Tell whether a link to ``peer`` is ready."""
        return bool(self.ready.get(peer))

    def probe(
        self, to: members.NodeId, address: members.Address
    ) -> typing.Any:
        """Return a Deferred of the ``core.ProbeReply`` of ``address``."""
        return probes.probe(self.reactor, to, address)

    def traffic(self) -> tuple[int, int]:
        """Return the bytes received and sent since the start."""
        received = sum(c.bytes_in for c in self.open)
        sent = sum(c.bytes_out for c in self.open)
        return self.closed_bytes_in + received, self.closed_bytes_out + sent

    def sent_counts(self) -> dict[str, int]:
        """Return the messages written since the start, by type."""
        return dict(self.sent)

    def stop(self) -> None:
        """Close every link and accept none."""
        self.is_stopping = True
        self.checks.cancel()
        if self.port is not None:
            self.port.stopListening()
        for connection in list(self.open):
            if connection.transport is None:
                # Still being opened; it is closed when it is ready.
                continue
            # A graceful close lets written messages reach the peer.
            typing.cast(typing.Any, connection.transport).loseConnection()

    def seconds(self) -> float:
        """Return monotonic seconds."""
        return self.timers.clock.seconds()

    def connection_ready(self, connection: connections.Connection) -> None:
        """Use the connection and send what waited for it."""
        if self.is_stopping:
            connection.close("this process is shutting down")
            return
        node = connection.peer_node()
        assert node is not None
        address = connection.peer_address()
        self.ready.setdefault(node, []).append(connection)
        self.ready_at.setdefault(address, []).append(connection)
        for key in (node, address):
            waiting = self.waiting.pop(key, Waiting())
            for message in waiting.messages:
                self._write(node, connection, message)
        expected = connection.expected
        if expected not in (None, members.UNNAMED, node):
            # Another incarnation runs at this address, so that the
            # expected one is never reached there.
            self._give_up(
                expected, expected, self.waiting.get(expected), connection
            )

    def connection_message(
        self, connection: connections.Connection, message: object
    ) -> None:
        """Pass a message on with the identity of its sender."""
        node = connection.peer_node()
        assert node is not None
        self.owner.link_message(node, message)

    def connection_closed(
        self, connection: connections.Connection, reason: str
    ) -> None:
        """Forget the connection and report the loss of the link."""
        self.open.discard(connection)
        self.closed_bytes_in += connection.bytes_in
        self.closed_bytes_out += connection.bytes_out
        if not connection.greeted and connection.expected is not None:
            self._refused_greeting(connection)
        node = connection.peer_node()
        if node is None:
            return
        was_ready = remove(self.ready, node, connection)
        remove(self.ready_at, connection.peer_address(), connection)
        if was_ready and not self.is_stopping:
            self.owner.link_lost(node)

    def _refused_greeting(self, connection: connections.Connection) -> None:
        """Report what waited for a connection that never became ready."""
        for key, waiting in list(self.waiting.items()):
            if waiting.connection is connection:
                to = connection.expected
                assert to is not None
                self._give_up(to, key, waiting, connection)

    def _keep_port(self, port: typing.Any) -> typing.Any:
        self.port = port
        return port

    def _new_connection(
        self, *, expected: members.NodeId | None
    ) -> connections.Connection:
        connection = connections.Connection(owner=self, expected=expected)
        self.open.add(connection)
        return connection

    def _wait(
        self, to: members.NodeId, address: members.Address, message: object
    ) -> None:
        key = address if to == members.UNNAMED else to
        waiting = self.waiting.get(key)
        if waiting is None:
            waiting = self.waiting[key] = Waiting()
            self._connect(to, key, address)
        if len(waiting.messages) >= MAX_WAITING_MESSAGES:
            self._fail_later(to, message)
            return
        waiting.messages.append(message)

    def _connect(
        self, to: members.NodeId, key: Key, address: members.Address
    ) -> None:
        connection = self._new_connection(expected=to)
        waiting = self.waiting[key]
        waiting.connection = connection
        endpoint = endpoints.TCP4ClientEndpoint(
            self.reactor,
            address.host,
            address.port,
            timeout=self.timeouts.connect_timeout_s,
            bindAddress=(self.hello.address.host, 0),
        )
        connecting = endpoints.connectProtocol(endpoint, connection)
        connecting.addErrback(self._refused, to, key, waiting, connection)
        self.timers.after(
            self.timeouts.connect_timeout_s
            + self.timeouts.handshake_timeout_s,
            lambda now: self._give_up(to, key, waiting, connection),
        )

    def _refused(
        self,
        failure: typing.Any,
        to: members.NodeId,
        key: Key,
        waiting: Waiting,
        connection: connections.Connection,
    ) -> None:
        failure.trap(error.ConnectError, error.ConnectionAborted)
        self.open.discard(connection)
        self._give_up(to, key, waiting, connection)

    def _give_up(
        self,
        to: members.NodeId,
        key: Key,
        waiting: Waiting | None,
        connection: connections.Connection,
    ) -> None:
        if waiting is None or self.waiting.get(key) is not waiting:
            return
        del self.waiting[key]
        if not connection.is_ready:
            connection.close("no Hello from the expected process in time")
        if self.is_stopping:
            return
        for message in waiting.messages:
            self.owner.send_failed(to, message)

    def _check(self, now: core.Instant) -> None:
        for connection in list(self.open):
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
                connection.close("no answer to a ping; the link is silent")
        elif silent_s > self.timeouts.ping_after_s:
            connection.ping(now_s)
