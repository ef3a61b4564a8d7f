"""Tests of the measured speed of an endpoint."""

import pytest

from _jasminewind.decisions.jobs import speed


@pytest.mark.parametrize(
    ("estimate_s", "run_s"), [(10_000.0, 0.001), (0.005, 10_000.0)]
)
def test_a_speed_stays_within_what_entries_accept(estimate_s, run_s):
    """Guards against an average of 0, from which it never recovers.

    Estimates of callers may be off by any factor.
    """
    measured = speed.SpeedEstimate()
    for _ in range(200):
        measured.record(estimate_s, run_s)
    learned = measured.learned()
    assert speed.MIN_SLOWNESS <= learned <= speed.MAX_SLOWNESS
    restored = speed.SpeedEstimate()
    restored.restore(learned)
    for _ in range(200):
        restored.record(1.0, 1.0)
    assert restored.slowness == pytest.approx(1.0, abs=0.01)
