"""Tests of the timer service."""

from twisted.internet import task

from _jasminewind import timers


def test_a_subscriber_is_called_again_after_an_exception():
    """Guards against a timer that stops after its first exception."""
    clock = task.Clock()
    service = timers.TimerService(clock=clock, wall_ms=lambda: 0)
    calls = []

    def callback(now):
        calls.append(now.mono_s)
        raise ValueError("bad event")

    service.every(1.0, callback)
    clock.pump([1.0, 1.0, 1.0])
    assert calls == [1.0, 2.0, 3.0]
