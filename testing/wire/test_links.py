"""Tests of links and probes over loopback."""

import struct

import pytest
from twisted.internet import endpoints
from twisted.internet import protocol

from _jasminewind import members
from _jasminewind import timers
from _jasminewind.experiment import ports
from _jasminewind.messages import links as link_messages
from _jasminewind.messages import work
from _jasminewind.wire import frames
from _jasminewind.wire import links
from _jasminewind.wire import probes
from testing import reactor

ALLOCATOR = ports.PortAllocator()


class Peer(links.LinkOwner):
    """A process with nothing but links, which records what they report."""

    timeouts = links.LinkTimeouts()

    def __init__(self, name, *, incarnation=1, port=None, version=None):
        self.node = members.NodeId(name, incarnation)
        port = port or ALLOCATOR.take()
        self.address = members.Address("127.0.0.1", port)
        self.messages = []
        self.lost = []
        self.failed = []
        hello = link_messages.Hello(
            protocol_version=version or link_messages.PROTOCOL_VERSION,
            sender=self.node,
            address=self.address,
            role=members.Role.AGENT,
        )
        self.links = links.Links(
            reactor=reactor.reactor,
            timer_service=timers.TimerService(clock=reactor.reactor),
            hello=hello,
            owner=self,
            timeouts=self.timeouts,
        )

    def link_message(self, sender, message):
        """Record a message."""
        self.messages.append((sender, message))

    def link_lost(self, peer):
        """Record a lost link."""
        self.lost.append(peer)

    def send_failed(self, peer, message):
        """Record a message that was not sent."""
        self.failed.append((peer, message))

    def send(self, to, message):
        """Send a message to another peer."""
        self.links.send(to.node, to.address, message)


class SilentServer(protocol.Protocol):
    """Accepts connections and never responds.

    It sends ``first_bytes`` once on each connection.
    """

    first_bytes = b""

    def connectionMade(self):  # noqa: N802
        """Send the first bytes."""
        self.transport.write(self.first_bytes)


@pytest.fixture
def make_peer():
    """Return a function that starts a peer; all are stopped at the end."""
    started = []

    def make(name, **fields):
        async def start():
            peer = Peer(name, **fields)
            started.append(peer)
            await peer.links.listen()
            return peer

        return reactor.run(start)

    yield make
    for peer in started:
        reactor.run(peer.links.stop)


@pytest.fixture
def make_silent_server():
    """Return a function that starts a :class:`SilentServer`."""
    opened = []

    def make(address, first_bytes=b""):
        async def start():
            kind = type(
                "Server", (SilentServer,), {"first_bytes": first_bytes}
            )
            factory = protocol.Factory.forProtocol(kind)
            endpoint = endpoints.TCP4ServerEndpoint(
                reactor.reactor, address.port, interface=address.host
            )
            opened.append(await endpoint.listen(factory))

        reactor.run(start)

    yield make
    for port in opened:
        reactor.run(port.stopListening)


@pytest.fixture
def short_timeouts(monkeypatch):
    """Shorten the timeouts of links."""
    short = links.LinkTimeouts(
        connect_timeout_s=0.3,
        handshake_timeout_s=0.3,
        ping_after_s=0.3,
        ping_timeout_s=0.3,
        check_period_s=0.05,
    )
    monkeypatch.setattr(Peer, "timeouts", short)


def cancel(number):
    """Return a small message."""
    return work.Cancel(work_id=f"id-{number}")


def hello_frame(node, address):
    """Return the ``Hello`` frame of a process."""
    hello = link_messages.Hello(
        protocol_version=link_messages.PROTOCOL_VERSION,
        sender=node,
        address=address,
        role=members.Role.AGENT,
    )
    payload = frames.encode(hello)
    return struct.pack("!I", len(payload)) + payload


def wait(condition):
    """Wait until ``condition()`` is true."""
    reactor.run(reactor.until, condition)


def test_messages_wait_for_the_handshake_and_keep_their_order(make_peer):
    """Guards against messages lost or reordered during the handshake."""
    a, b = make_peer("a"), make_peer("b")
    sent = [cancel(number) for number in range(20)]

    def send():
        for message in sent:
            a.send(b, message)

    reactor.run(send)
    wait(lambda: len(b.messages) == 20)
    assert b.messages == [(a.node, message) for message in sent]
    reactor.run(b.send, a, cancel(99))
    wait(lambda: a.messages)
    assert a.messages == [(b.node, cancel(99))]
    assert len(a.links.open_connections) == len(b.links.open_connections) == 1


class ReadyConnection:
    """A ready connection that records what is sent on it."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        """Record a message."""
        self.sent.append(message)
        return True


def test_messages_take_the_newest_connection_of_a_peer(make_peer):
    """Guards against messages on a link that is silent for the peer only.

    The peer has replaced the link, and this process has not noticed yet that
    the older one is dead.
    """
    peer = make_peer("a")
    node = members.NodeId("b", 1)
    older, newer = ReadyConnection(), ReadyConnection()
    peer.links.ready_by_node[node] = [older, newer]
    peer.links.send(node, members.NO_ADDRESS, "message")
    del peer.links.ready_by_node[node]
    assert (older.sent, newer.sent) == ([], ["message"])


def test_other_protocol_version_is_refused(make_peer):
    """Guards against messages misread by another protocol version."""
    a = make_peer("a")
    old = make_peer("old", version=link_messages.PROTOCOL_VERSION + 1)
    reactor.run(a.send, old, cancel(1))
    wait(lambda: a.failed)
    assert a.failed == [(old.node, cancel(1))]
    assert old.messages == []
    assert not a.links.is_linked(old.node)


def test_message_to_a_replaced_incarnation_is_not_sent(make_peer):
    """Guards against a new incarnation that gets its predecessor's work."""
    a = make_peer("a")
    new = make_peer("b", incarnation=2)
    earlier = members.NodeId("b", 1)
    reactor.run(a.links.send, earlier, new.address, cancel(1))
    wait(lambda: a.failed)
    assert a.failed == [(earlier, cancel(1))]
    reactor.run(a.send, new, cancel(2))
    wait(lambda: new.messages)
    assert new.messages == [(a.node, cancel(2))]


def test_silent_peer_is_detected_and_replaced(
    short_timeouts, make_peer, make_silent_server
):
    """Guards against a link that stays open although its peer is frozen.

    The peer sends a ``Hello`` and then no pong.
    """
    a = make_peer("a")
    address = members.Address("127.0.0.1", ALLOCATOR.take())
    node = members.NodeId("b", 1)
    make_silent_server(address, hello_frame(node, address))
    reactor.run(a.links.send, node, address, cancel(1))
    wait(lambda: a.links.is_linked(node))
    wait(lambda: a.lost)
    assert a.lost == [node]
    assert not a.links.is_linked(node)
    reactor.run(a.links.send, node, address, cancel(2))
    wait(lambda: a.links.is_linked(node))


def test_peer_without_a_hello_fails_its_messages(
    short_timeouts, make_peer, make_silent_server
):
    """Guards against messages queued forever for a frozen process.

    The process accepts the connection and sends no ``Hello``.
    """
    a = make_peer("a")
    address = members.Address("127.0.0.1", ALLOCATOR.take())
    node = members.NodeId("b", 1)
    make_silent_server(address)
    reactor.run(a.links.send, node, address, cancel(1))
    wait(lambda: a.failed)
    assert a.failed == [(node, cancel(1))]
    wait(lambda: not a.links.open_connections)


def test_idle_link_stays_open(short_timeouts, make_peer):
    """Guards against a link that is closed because it is idle."""
    a, b = make_peer("a"), make_peer("b")
    reactor.run(a.send, b, cancel(1))
    wait(lambda: b.messages)
    (connection,) = a.links.open_connections
    before = connection.bytes_in
    # Two pongs show that the idle link outlived two pings.
    wait(lambda: connection.bytes_in > before + 2 * pong_payload_bytes())
    assert a.lost == b.lost == []


def pong_payload_bytes():
    """Return the payload size of a pong."""
    return len(frames.encode(link_messages.Pong(nonce=1_000_000)))


def test_oversized_message_is_not_sent(make_peer):
    """Guards against a message that makes the peer close the link."""
    a, b = make_peer("a"), make_peer("b")
    large = work.Cancel(work_id="x" * frames.MAX_FRAME_BYTES)

    def send():
        a.send(b, large)
        a.send(b, cancel(1))

    reactor.run(send)
    wait(lambda: b.messages and a.failed)
    reactor.run(send)
    wait(lambda: len(b.messages) == 2 and len(a.failed) == 2)
    assert {message for _, message in a.failed} == {large}
    assert a.lost == b.lost == []


def test_oversized_frame_closes_the_connection(make_peer):
    """Guards against a peer that makes a process buffer without limit."""
    b = make_peer("b")
    closed = []

    class Raw(protocol.Protocol):
        def connectionMade(self):  # noqa: N802
            size = frames.MAX_FRAME_BYTES + 1
            self.transport.write(struct.pack("!I", size) + b"x" * 1024)

        def connectionLost(self, reason=None):  # noqa: N802
            closed.append(reason)

    async def connect():
        endpoint = endpoints.TCP4ClientEndpoint(
            reactor.reactor, b.address.host, b.address.port
        )
        await endpoints.connectProtocol(endpoint, Raw())

    reactor.run(connect)
    wait(lambda: closed)
    assert b.messages == []


def test_probe_finds_the_process_at_an_address(make_peer):
    """Guards against a takeover from a live process."""
    b = make_peer("b", incarnation=3)
    wanted = members.NodeId("b", 2)
    reply = reactor.run(probes.probe, reactor.reactor, wanted, b.address)
    assert (reply.to, reply.found) == (wanted, b.node)


def test_probe_of_a_frozen_process_finds_nobody(
    monkeypatch, make_silent_server
):
    """Guards against a frozen process that counts as alive.

    Its kernel accepts connections; a ``Hello`` may precede the freeze.
    """
    monkeypatch.setattr(probes, "PROBE_TIMEOUT_S", 0.3)
    address = members.Address("127.0.0.1", ALLOCATOR.take())
    node = members.NodeId("b", 1)
    make_silent_server(address)
    reply = reactor.run(probes.probe, reactor.reactor, node, address)
    assert reply.found is None
    other = members.Address("127.0.0.1", ALLOCATOR.take())
    # A Hello written before the process froze proves nothing.
    make_silent_server(other, hello_frame(node, other))
    reply = reactor.run(probes.probe, reactor.reactor, node, other)
    assert reply.found is None


def test_probe_of_a_closed_port_finds_nobody():
    """Guards against a probe that hangs if nothing listens."""
    address = members.Address("127.0.0.1", ALLOCATOR.take())
    node = members.NodeId("b", 1)
    reply = reactor.run(probes.probe, reactor.reactor, node, address)
    assert reply.found is None
