"""The clock by which a process measures time."""

import time
import typing


def steady_s() -> float:
    """Return monotonic seconds that also pass while the host is suspended.

    Leases and grants are timed by it: a process that was suspended must
    not take them for valid when it wakes up.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_steady_clock(reactor: typing.Any) -> None:
    """Time a reactor by :func:`steady_s`.

    twisted times its calls by the wall clock, which operators and time
    services set forward and back.
    """
    reactor.seconds = steady_s
