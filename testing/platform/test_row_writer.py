"""Registrations in the store, when answers of its writes are lost."""

import pytest
from twisted.internet import endpoints
from twisted.web import server

from _jasminewind import members
from _jasminewind import timers
from _jasminewind.decisions.jobs import registry
from _jasminewind.experiment import ports
from _jasminewind.platform import rows
from testing import reactor
from testing.platform import fake_platform

ALLOCATOR = ports.PortAllocator()
HOST = "127.0.0.1"
ROW = ("agents", "agent-1")


@pytest.fixture
def port():
    """Return the port of the store."""
    return ALLOCATOR.take()


@pytest.fixture
def store(port):
    """Serve a store."""
    fake = fake_platform.FakeStore(reactor.reactor)
    opened = []

    async def serve():
        endpoint = endpoints.TCP4ServerEndpoint(
            reactor.reactor, port, interface=HOST
        )
        opened.append(await endpoint.listen(server.Site(fake)))

    reactor.run(serve)
    yield fake
    for each in opened:
        each.stopListening()


@pytest.fixture
def make_writer(store, port):
    """Return a function that starts a process's writer of one row."""
    writers = []

    def make(on_exists=None):
        writer = rows.RowWriter(
            store=rows.RowStore(reactor=reactor.reactor, host=HOST, port=port),
            table=ROW[0],
            key=ROW[1],
            timer_service=timers.TimerService(clock=reactor.reactor),
            on_exists=on_exists,
        )
        writers.append(writer)
        return writer

    yield make
    for writer in writers:
        writer.stop()
        reactor.run(writer.store.http_client.close)


def stored(store):
    """Return the value of the row."""
    return store.rows.get(ROW, (0, None))[1]


def test_the_latest_value_is_written(store, make_writer):
    """Guards against values that overtake each other."""

    async def write():
        writer = make_writer()
        for number in range(5):
            writer.set(b"%d" % number)
        await reactor.until(lambda: stored(store) == b"4")

    reactor.run(write)
    assert len(store.calls) == 2


def test_a_late_write_does_not_undo_a_later_one(store, make_writer):
    """Guards against an endpoint that has left and is used again.

    The store carries out a write seconds after its answer was lost.
    """

    async def write():
        writer = make_writer()
        store.is_losing_answers = True
        writer.set(b"attached")
        await reactor.until(lambda: store.late)
        store.is_losing_answers = False
        writer.set(b"left")
        await reactor.until(lambda: stored(store) == b"left")
        for transaction in store.late:
            assert not store.apply(transaction)

    reactor.run(write)
    assert stored(store) == b"left"


def test_a_write_that_took_effect_is_followed_by_the_next(store, make_writer):
    """Guards against a writer that waits for an answer that never comes."""

    async def write():
        writer = make_writer()
        store.is_losing_answers = True
        writer.set(b"attached")
        await reactor.until(lambda: store.late)
        store.is_losing_answers = False
        assert store.apply(store.late[0])
        writer.set(b"left")
        await reactor.until(lambda: stored(store) == b"left")

    reactor.run(write)


def test_a_new_process_takes_the_row_over(store, make_writer):
    """Guards against the late write of a process that was killed."""

    async def write():
        first = make_writer()
        first.set(b"first")
        await reactor.until(lambda: stored(store) == b"first")
        store.is_losing_answers = True
        first.set(b"late")
        await reactor.until(lambda: store.late)
        first.stop()
        store.is_losing_answers = False
        make_writer().set(b"second")
        await reactor.until(lambda: stored(store) == b"second")
        assert not store.apply(store.late[0])

    reactor.run(write)


@pytest.mark.parametrize("is_lost", [False, True])
@pytest.mark.parametrize("has_row", [False, True])
def test_the_writer_that_creates_a_row_learns_it(
    store, make_writer, has_row, is_lost
):
    """Guards against a process that takes itself for the first of its name.

    A writer whose answer was lost cannot tell its own row from another's.
    """
    found = []

    async def write():
        if has_row:
            store.put(*ROW, b"0")
        writer = make_writer(found.append)
        store.is_losing_answers = is_lost
        writer.set(b"1")
        if is_lost:
            await reactor.until(lambda: store.late)
            store.apply(store.late.pop())
            store.is_losing_answers = False
        await reactor.until(lambda: writer.written == b"1")
        writer.set(b"2")
        await reactor.until(lambda: writer.written == b"2")

    reactor.run(write)
    assert found == [not has_row and not is_lost]


def test_a_write_is_repeated_while_the_store_is_down(store, make_writer):
    """Guards against a process that stays unknown after an outage."""

    async def write():
        store.status = 503
        writer = make_writer()
        writer.set(b"attached")
        await reactor.until(lambda: len(store.calls) >= 2)
        store.status = 200
        await reactor.until(lambda: stored(store) == b"attached")

    reactor.run(write)


def test_a_registration_without_an_endpoint_is_not_restored():
    """Shows what a process finds after its endpoint has left."""
    row = registry.encode(
        registry.Registration(
            role=members.Role.AGENT, host=HOST, port=1, endpoint=None
        )
    )
    assert registry.decode(row).unwrap().endpoint is None
