"""Runs the one global reactor in a thread, for tests over real sockets.

A test calls :func:`run` with a function that returns a Deferred or is a
coroutine function. The function runs in the reactor's thread, and the test
waits for its outcome. Everything that touches a socket has to run there.
"""

import collections.abc
import threading
import typing

from twisted.internet import defer
from twisted.internet import reactor as global_reactor
from twisted.internet import threads

# Guards against a test that hangs. It is no bound on results.
SAFETY_S = 60.0

reactor: typing.Any = global_reactor
START_LOCK = threading.Lock()


def ensure_running() -> None:
    """Start the reactor in a daemon thread unless it runs already."""
    with START_LOCK:
        if reactor.running:
            return
        started = threading.Event()
        reactor.callWhenRunning(started.set)
        threading.Thread(
            target=reactor.run,
            kwargs={"installSignalHandlers": False},
            name="reactor",
            daemon=True,
        ).start()
        if not started.wait(SAFETY_S):
            raise RuntimeError("the reactor did not start")


def run(
    function: collections.abc.Callable[..., typing.Any],
    *arguments: typing.Any,
) -> typing.Any:
    """Call ``function`` in the reactor's thread and return its outcome.

    The outcome of a Deferred or a coroutine is waited for. Raises what the
    function raises, and ``defer.TimeoutError`` after :data:`SAFETY_S`.
    """

    def limited() -> typing.Any:
        outcome = function(*arguments)
        if isinstance(outcome, collections.abc.Coroutine):
            outcome = defer.ensureDeferred(outcome)
        if isinstance(outcome, defer.Deferred):
            outcome.addTimeout(SAFETY_S, reactor)
        return outcome

    return call(limited)


def call(function: collections.abc.Callable[[], typing.Any]) -> typing.Any:
    """Call ``function`` in the reactor's thread, without a time limit."""
    ensure_running()
    return threads.blockingCallFromThread(reactor, function)


async def until(condition: collections.abc.Callable[[], typing.Any]) -> None:
    """Wait in the reactor's thread until ``condition()`` is true."""
    while not condition():
        await sleep(0.005)


def sleep(seconds: float) -> defer.Deferred[None]:
    """Return a Deferred that fires after ``seconds``."""
    waiter: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(seconds, waiter.callback, None)
    return waiter
