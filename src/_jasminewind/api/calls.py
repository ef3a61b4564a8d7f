"""Remote methods, their call context, and waiting with a timeout."""

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
    """Data of a call besides its request message.

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
    """A remote method: its request type and its handler.

    A handler that forwards work or a change applies its own timeout, as
    its error must state the outcome. With ``has_own_timeout`` the server
    applies none.
    """

    request: type[protobuf.Message]
    handler: Handler
    has_own_timeout: bool = False


class Service(typing.Protocol):
    """A service of the protobuf schema."""

    name: str

    def methods(self) -> dict[str, Method]:
        """Return the methods by schema name."""


class TimedOut:
    """Type of the sentinel for a wait that timed out."""


TIMED_OUT = TimedOut()


async def with_timeout(
    clock: timers.Clock, source: defer.Deferred[T], timeout_s: float
) -> T | TimedOut:
    """Return the result of ``source``, or ``TIMED_OUT`` after ``timeout_s``.

    Neither a timeout nor a cancellation of this wait cancels ``source``:
    its late result is dropped. Work is cancelled by a message to its owner.
    """
    waiter: defer.Deferred[T | TimedOut] = defer.Deferred()

    def finish(value: typing.Any) -> None:
        if waiter.called:
            return
        if timer.active():
            timer.cancel()
        waiter.callback(value)

    def expire() -> None:
        if not waiter.called:
            waiter.callback(TIMED_OUT)

    timer = clock.callLater(max(timeout_s, 0.0), expire)
    source.addBoth(finish)
    try:
        return await waiter
    finally:
        if timer.active():
            timer.cancel()


async def sleep(clock: timers.Clock, seconds: float) -> None:
    """Sleep for ``seconds``."""
    unfired: defer.Deferred[None] = defer.Deferred()
    await with_timeout(clock, unfired, seconds)
