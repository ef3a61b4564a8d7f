"""Timer service: periodic and one-shot calls on the reactor's clock."""

import collections.abc
import dataclasses
import time
import typing

import structlog
from twisted.internet import interfaces
from twisted.internet import task

from _jasminewind.decisions import core

LOG = structlog.get_logger("timers")


class DelayedCall(typing.Protocol):
    """A scheduled call, like twisted's ``IDelayedCall``."""

    def cancel(self) -> None:
        """Cancel the call."""

    def active(self) -> int:
        """Return whether the call is still pending."""


class Clock(typing.Protocol):
    """The part of a twisted reactor that reads and schedules time."""

    def seconds(self) -> float:
        """Return monotonic seconds."""

    # Twisted defines the name.
    def callLater(  # noqa: N802
        self,
        delay: float,
        callable: collections.abc.Callable[..., typing.Any],
    ) -> DelayedCall:
        """Call ``callable`` after ``delay`` seconds."""


Callback = collections.abc.Callable[[core.Instant], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Subscription:
    """A periodic call that can be cancelled."""

    loop: task.LoopingCall

    def cancel(self) -> None:
        """Stop calling the subscriber."""
        if self.loop.running:
            self.loop.stop()


class TimerService:
    """Calls subscribers periodically with the current instant."""

    def __init__(
        self,
        *,
        clock: Clock,
        wall_ms: collections.abc.Callable[[], int] | None = None,
    ) -> None:
        self.clock = clock
        self.wall_ms = wall_ms or (lambda: time.time_ns() // 1_000_000)

    def now(self) -> core.Instant:
        """Return the current instant."""
        return core.Instant(self.clock.seconds(), self.wall_ms())

    def every(
        self, period_s: float, callback: Callback, *, immediately: bool = False
    ) -> Subscription:
        """Call ``callback`` every ``period_s`` seconds.

        An exception is logged and does not end the subscription, so that
        one bad event cannot disable a timer of the process.
        """

        def call() -> None:
            try:
                callback(self.now())
            except Exception:
                LOG.exception("unexpected exception; please report it")

        loop = task.LoopingCall(call)
        loop.clock = typing.cast(interfaces.IReactorTime, self.clock)
        loop.start(period_s, now=immediately)
        return Subscription(loop=loop)

    def after(self, delay_s: float, callback: Callback) -> DelayedCall:
        """Call ``callback`` once after ``delay_s`` seconds."""
        return self.clock.callLater(delay_s, lambda: callback(self.now()))
