"""Costs of an HTTP call and of a message over a persistent link."""

import json
import time
import typing

import klein
import treq
from twisted.internet import defer
from twisted.internet import reactor as installed
from twisted.web import client
from twisted.web import server

from _jasminewind import members
from _jasminewind import timers
from _jasminewind.experiment import ports
from _jasminewind.messages import links as link_messages
from _jasminewind.messages import membership
from _jasminewind.wire import links
from bench import costs
from bench import costs_work

REACTOR = typing.cast(typing.Any, installed)
CALL_COUNTS = (50, 100, 200, 400)
MESSAGE_COUNTS = (250, 500, 1_000, 2_000)
BATCH_COUNTS = (20, 40, 80, 160)
STARTS_PER_BATCH = 50


class CountingReceiver(links.LinkOwner):
    """Fires ``done`` when the expected messages have arrived."""

    def __init__(self) -> None:
        self.remaining = 0
        self.done: defer.Deferred[None] = defer.Deferred()

    def link_message(self, sender: members.NodeId, message: object) -> None:
        """Count one message."""
        self.remaining -= 1
        if self.remaining == 0:
            self.done.callback(None)

    def link_lost(self, peer: members.NodeId) -> None:
        """Ignore the end of a link."""

    def send_failed(self, peer: members.NodeId, message: object) -> None:
        """Fail the measurement."""
        self.done.errback(RuntimeError(f"message to {peer.name} was not sent"))


def open_links(name: str, owner: links.LinkOwner) -> links.Links:
    """Return links with a free port as their address."""
    address = members.Address(ports.HOST, ports.PortAllocator().take())
    return links.Links(
        reactor=REACTOR,
        timer_service=timers.TimerService(clock=REACTOR),
        hello=link_messages.Hello(
            protocol_version=link_messages.PROTOCOL_VERSION,
            sender=members.NodeId(name, 1),
            address=address,
            role=members.Role.AGENT,
        ),
        owner=owner,
    )


class LinkPair:
    """Two link endpoints over loopback, both in this process."""

    def __init__(self) -> None:
        self.receiver = CountingReceiver()
        self.source = open_links("source", CountingReceiver())
        self.target = open_links("target", self.receiver)

    async def send(self, message: object, count: int) -> float:
        """Return the processor time of ``count`` messages in us."""
        self.receiver.remaining = count
        self.receiver.done = defer.Deferred()
        began_s = time.process_time()
        hello = self.target.hello
        for _ in range(count):
            self.source.send(hello.sender, hello.address, message)
        await self.receiver.done
        return (time.process_time() - began_s) * 1e6


async def measure() -> list[costs.Cost]:
    """Return the costs of link messages and of HTTP calls."""
    pair = LinkPair()
    await pair.target.listen()
    beat = membership.Beat(seq=1, config=1)
    await pair.send(beat, 10)
    measured = [
        await sweep(
            "link, messages",
            lambda n: pair.send(beat, n),
            MESSAGE_COUNTS,
            "messages",
            "both sides, one small message a frame",
        ),
        await sweep(
            "link, batches of 50 starts",
            lambda n: pair.send(
                costs_work.start_batch(1, STARTS_PER_BATCH), n
            ),
            BATCH_COUNTS,
            "batches",
            "both sides, one StartTasks of 50 starts a frame",
        ),
    ]
    pair.source.stop()
    pair.target.stop()
    measured.append(await measure_http())
    return measured


async def measure_http() -> costs.Cost:
    """Return the cost of HTTP calls from a treq client to a klein server."""
    app = klein.Klein()

    @app.route("/call", methods=["POST"])
    def call(request: typing.Any) -> bytes:
        return json.dumps(json.loads(request.content.read())).encode()

    port_number = ports.PortAllocator().take()
    port = REACTOR.listenTCP(
        port_number, server.Site(app.resource()), interface=ports.HOST
    )
    pool = client.HTTPConnectionPool(REACTOR)
    url = f"http://{ports.HOST}:{port_number}/call"

    async def run(count: int) -> float:
        began_s = time.process_time()
        for _ in range(count):
            reply = await treq.post(url, data=b'{"seq":1}', pool=pool)
            await reply.content()
        return (time.process_time() - began_s) * 1e6

    await run(5)
    cost = await sweep(
        "klein and treq, calls",
        run,
        CALL_COUNTS,
        "calls",
        "both sides, one pool",
    )
    await pool.closeCachedConnections()
    await port.stopListening()
    return cost


async def sweep(
    name: str,
    call: typing.Any,
    sizes: tuple[int, ...],
    size_unit: str,
    note: str,
) -> costs.Cost:
    """Measure a coroutine function at every size; keep the minimum."""
    measured = []
    for size in sizes:
        measured.append(min([await call(size) for _ in range(costs.REPEATS)]))
    return costs.Cost(
        name=name,
        size_unit=size_unit,
        unit="us",
        sizes=tuple(map(float, sizes)),
        costs=tuple(measured),
        note=note,
    )
