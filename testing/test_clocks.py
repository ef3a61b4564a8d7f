"""Tests of the monotonic clock."""

import time

from twisted.internet import selectreactor

from _jasminewind import clocks


def test_a_step_of_the_wall_clock_moves_no_timer(monkeypatch):
    """Guards against leases and timers that follow wall-clock steps."""
    reactor = selectreactor.SelectReactor()
    clocks.use_boottime_clock(reactor)
    called = []
    reactor.callLater(10.0, called.append, True)
    monkeypatch.setattr(time, "time", lambda: 1e12)
    reactor.runUntilCurrent()
    assert not called
    assert abs(reactor.seconds() - clocks.boottime_s()) < 1.0
