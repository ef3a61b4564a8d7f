"""Tests of run time estimates."""

import pytest

from _jasminewind.decisions import runtimes


def test_declaration_is_a_weak_prior():
    """Guards against a declared run time that outweighs measurements."""
    times = runtimes.RunTimes()
    method = times.method("orders", "cut")
    assert times.expected_s(method, 30.0) == 30.0
    for _ in range(200):
        method.add(0.2, 0.0)
    assert times.expected_s(method, 30.0) < 1.0


def test_old_run_times_fade():
    """Guards against estimates that do not follow a change."""
    method = runtimes.MethodTimes()
    for index in range(2_000):
        method.add(5.0, index * 0.01)
    for index in range(2_000):
        method.add(0.1, 20.0 + index * 0.01)
    assert method.p99_s == pytest.approx(0.1, rel=0.02)


def test_too_few_samples_shed_nothing():
    """Guards against load shedding after one slow run."""
    method = runtimes.MethodTimes()
    method.add(500.0, 0.0)
    assert runtimes.learned_median_s(method) == 0.0
