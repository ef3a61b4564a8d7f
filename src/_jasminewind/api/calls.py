"""Remote calls: their context, and waiting with a limit."""

import collections.abc
import dataclasses
import typing

import result
from google.protobuf import message as protobuf
from twisted.internet import defer

from _jasminewind import timers
from _jasminewind.api import connect

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallContext:
    """What a service knows of a call besides its message.

    ``timeout_s`` comes from the ``Connect-Timeout-Ms`` header;
    ``body_bytes`` is the size of the request body.
    """

    timeout_s: float | None = None
    body_bytes: int = 0


Reply = result.Result[protobuf.Message, connect.CallError]
Handler = collections.abc.Callable[
    [typing.Any, CallContext],
    collections.abc.Coroutine[typing.Any, typing.Any, Reply],
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Method:
    """A remote method: the type of its request, and its handler.

    A handler of work limits its own time, because it must say what became
    of the work; ``has_own_timeout`` tells the server to leave it alone.
    """

    request: type[protobuf.Message]
    handler: Handler
    has_own_timeout: bool = False


class Service(typing.Protocol):
    """A service of the schema."""

    name: str

    def methods(self) -> dict[str, Method]:
        """Return the methods by their names in the schema."""


class TimedOut:
    """Marks a wait that ended before its result came."""


TIMED_OUT = TimedOut()


async def with_timeout(
    clock: timers.Clock, source: defer.Deferred[T], timeout_s: float
) -> T | TimedOut:
    """Return the result of ``source``, or ``TIMED_OUT`` after ``timeout_s``.

    Cancelling this wait does not cancel ``source``: its late result is
    dropped, and the caller tells the owner of the work by message.
    """
    waiting: defer.Deferred[T | TimedOut] = defer.Deferred()

    def finish(value: typing.Any) -> None:
        if waiting.called:
            return
        if timer.active():
            timer.cancel()
        waiting.callback(value)

    def expire() -> None:
        if not waiting.called:
            waiting.callback(TIMED_OUT)

    timer = clock.callLater(max(timeout_s, 0.0), expire)
    source.addBoth(finish)
    try:
        return await waiting
    finally:
        if timer.active():
            timer.cancel()


async def sleep(clock: timers.Clock, seconds: float) -> None:
    """Wait for ``seconds``."""
    never: defer.Deferred[None] = defer.Deferred()
    await with_timeout(clock, never, seconds)
