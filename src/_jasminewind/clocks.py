"""Monotonic clock that also counts while the host is suspended."""

import time
import typing


def boottime_s() -> float:
    """Return monotonic seconds, including time spent suspended.

    Leases and grants use this clock, so that a process that resumes after
    a suspension does not treat expired ones as valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_boottime_clock(reactor: typing.Any) -> None:
    """Make a reactor use :func:`boottime_s`.

    By default, twisted schedules calls by the wall clock, which operators
    and time synchronisation set forward and back.
    """
    reactor.seconds = boottime_s
