"""Tests of frames and messages that a process cannot read."""

import json
import struct
import types

import hypothesis
import pytest
from hypothesis import strategies
from twisted.internet import task
from twisted.internet import testing as net_testing

from _jasminewind import members
from _jasminewind import metrics
from _jasminewind import resources
from _jasminewind import timers
from _jasminewind.messages import links as link_messages
from _jasminewind.messages import registry
from _jasminewind.messages import runs
from _jasminewind.nodes import job_node
from _jasminewind.wire import compression
from _jasminewind.wire import frames
from _jasminewind.wire import links
from testing.platform import odd_values
from testing.platform import test_odd_rows_of_endpoints as meters

ADDRESS = members.Address("127.0.0.1", 7_000)
HELLO = link_messages.Hello(
    protocol_version=link_messages.PROTOCOL_VERSION,
    sender=members.NodeId("agent-1", 7),
    address=ADDRESS,
    role=members.Role.AGENT,
)
LOAD = runs.AgentLoad(sequence=1, free=resources.Resources(cores=1.0))
KEY = runs.RunKey("a.0.0.0", 1)
MESSAGES = [
    HELLO,
    link_messages.Ping(nonce=1),
    runs.AgentBeat(
        sequence=1,
        load=LOAD,
        endpoint=runs.EndpointRecord(
            name="i-1",
            born_ms=1,
            service="s",
            failure_domain="a",
            capacity=resources.Resources(cores=1.0),
            labels=("a",),
        ),
    ),
    runs.BeatEcho(sequence=1, stops=(KEY,)),
    runs.StartRuns(
        batch=1,
        grant=1,
        orders=(
            runs.RunOrder(
                key=KEY,
                specification="s",
                need=resources.Resources(cores=1.0),
                estimate_s=1.0,
                slack_s=1.0,
            ),
        ),
    ),
    runs.RunsEnded(
        ends=(runs.RunEnd(key=KEY, outcome=runs.RunOutcome.DONE),), load=LOAD
    ),
    runs.CancelJob(job="a"),
]
ODD_MESSAGES = [
    b'{"type":"Tomorrow","body":{}}',
    b'{"type":"BeatEcho","body":{}}',
    b'{"type":"BeatEcho","body":[]}',
    b'{"type":"BeatEcho","body":{"sequence":"one"}}',
    b'{"type":"BeatEcho","body":{"sequence":1e400}}',
    b'{"type":"BeatEcho","body":{"sequence":1,"stops":[5]}}',
    b'{"type":"BeatEcho","body":{"sequence":1,"stops":[{"task":"\xff"}]}}',
    b'{"type":"RunsEnded","body":{"ends":[{"key":{"task":"a","number":1},'
    b'"outcome":"odd"}],"load":{"sequence":1}}}',
]
UNREADABLE = [
    b"",
    b"{",
    b"[]",
    b"\xff",
    odd_values.NESTED.encode(),
    b'{"type":5,"body":{}}',
    b'{"type":"BeatEcho"}',
    b'{"type":"BeatEcho","body":' + odd_values.NESTED.encode() + b"}",
]


class Linked:
    """An entry or an agent with one link to a peer."""

    def __init__(self, *, is_job_node=True):
        self.clock = task.Clock()
        self.meter = meters.CountingMeter()
        options = {
            "reactor": self.clock,
            "timer_service": timers.TimerService(clock=self.clock),
            "member": members.Member(
                node=members.NodeId("entry-1", 1),
                address=members.Address("127.0.0.1", 7_001),
                role=members.Role.ENTRY,
                region="r",
                failure_domain="a",
                rack="",
            ),
            "decision_log": None,
            "log": types.SimpleNamespace(error=self.on_error),
            "meter": self.meter,
        }
        kind = job_node.JobNode
        if not is_job_node:
            kind = job_node.linked_node.LinkedNode
        self.node = kind(**options)
        self.errors = []
        self.messages = []
        self.lost = []
        self.node.link_message = lambda sender, m: self.messages.append(m)
        self.node.link_lost = self.lost.append
        self.connection = self.node.links._new_connection(expected=None)
        self.transport = net_testing.StringTransportWithDisconnection()
        self.transport.setTcpNoDelay = lambda value: None
        self.transport.abortConnection = self.transport.loseConnection
        self.transport.protocol = self.connection
        self.connection.makeConnection(self.transport)

    def on_error(self, *args, **fields):
        """Collect an unexpected exception."""
        self.errors.append((args, fields))

    def receive(self, payload):
        """Receive one frame, unless the connection is closed."""
        if self.transport.connected:
            self.connection.dataReceived(
                struct.pack("!I", len(payload)) + payload
            )

    def unreadable(self):
        """Return how many messages were passed over, as counted."""
        return self.meter.counts.get(
            (metrics.UNUSABLE_INPUT.name, "message"), 0
        )


@pytest.fixture
def linked():
    """Return a process whose link is ready."""
    started = Linked()
    started.receive(frames.encode(HELLO))
    return started


@pytest.mark.parametrize("payload", ODD_MESSAGES)
@pytest.mark.parametrize("is_compressed", [True, False])
def test_an_odd_message_does_not_end_the_link(linked, payload, is_compressed):
    """Guards against other messages that are lost with a bad one."""
    compressor = compression.Compressor()
    good = runs.CancelJob(job="a")
    for each in (payload, payload, frames.encode(good)):
        linked.receive(compressor.compress(each) if is_compressed else each)
    assert linked.messages == [good]
    assert linked.transport.connected
    assert not linked.lost
    assert linked.unreadable() == 1


@pytest.mark.parametrize("payload", UNREADABLE, ids=lambda text: text[:20])
def test_a_frame_that_is_no_message_ends_only_its_link(linked, payload):
    """Guards against a process that goes on with a stream out of step."""
    linked.receive(payload)
    assert not linked.transport.connected
    assert linked.lost == [HELLO.sender]


@pytest.mark.parametrize("payload", ODD_MESSAGES)
def test_the_own_interface_learns_of_a_message_that_is_lost(payload):
    """Guards against work that is awaited for good.

    A coordinator asks for the outcome of its starts when their link is lost.
    """
    linked = Linked(is_job_node=False)
    linked.receive(frames.encode(HELLO))
    linked.receive(payload)
    assert linked.lost == [HELLO.sender]


def test_a_peer_does_not_change_its_identity(linked):
    """Guards against messages to a link that was closed."""
    linked.receive(frames.encode(HELLO))
    assert linked.transport.connected
    other = link_messages.Hello(
        protocol_version=HELLO.protocol_version,
        sender=members.NodeId("agent-2", 9),
        address=HELLO.address,
        role=HELLO.role,
    )
    linked.receive(frames.encode(other))
    assert not linked.transport.connected
    assert linked.lost == [HELLO.sender]
    assert not linked.node.links.ready_by_node
    assert not linked.node.links.ready_by_address


FRAMES = strategies.sampled_from(
    [json.loads(frames.encode(message)) for message in MESSAGES]
).flatmap(odd_values.texts)


@hypothesis.given(payloads=strategies.lists(FRAMES, max_size=4))
def test_frames_fuzz(payloads):
    """Guards against an exception that ends a process, or a half-open link."""
    for payload in payloads:
        decoded = frames.decode(payload)
        assert decoded.is_err() or type(decoded.unwrap()).__name__ in (
            registry.MODULE_BY_TYPE
        )
    started = Linked()
    for payload in (frames.encode(HELLO), *payloads):
        started.receive(payload)
    assert not started.errors
    found = started.node.links.ready_by_node
    assert bool(found) == started.transport.connected


@hypothesis.given(payloads=strategies.lists(FRAMES, min_size=1, max_size=3))
def test_frames_before_the_hello_fuzz(payloads):
    """Guards against messages of a process that is not known."""
    started = Linked()
    for payload in payloads:
        started.receive(payload)
        compressed = compression.MARKER + payload
        started.receive(compressed)
    assert not started.transport.connected or not started.messages
    assert not started.errors


@hypothesis.given(parts=strategies.lists(strategies.binary(max_size=40)))
def test_bytes_of_a_stream_fuzz(parts):
    """Guards against an exception for bytes that are no frames."""
    started = Linked()
    for part in parts:
        if started.transport.connected:
            started.connection.dataReceived(part)
    assert not started.messages


def test_links_close_an_unreadable_message_by_default():
    """Guards against an owner that loses messages without a choice."""
    assert not links.LinkOwner.link_unreadable(None, HELLO.sender, None)
