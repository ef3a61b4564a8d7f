"""Tests of task placement on workers and of learned resource usage."""

import collections

import pytest

from _jasminewind import resources
from _jasminewind.decisions import placement
from _jasminewind.messages import work

JOB = work.WorkKind.JOB
METHOD = ("orders", "cut")
DECLARED = resources.Resources(cores=2.0, memory_mb=1000.0)


def used(factor):
    """Return the declared resources scaled by ``factor``."""
    return DECLARED.scaled(factor)


def test_one_report_changes_the_ratio_by_a_fifth():
    """Guards against one wrong usage report that distorts the placement."""
    ratios = placement.UsageRatios()
    ratios.observe(METHOD, DECLARED, used(100.0))
    corrected = ratios.corrected(METHOD, DECLARED, DECLARED.scaled(10.0))
    assert corrected.cores == pytest.approx(2.4)
    assert corrected.memory_mb == pytest.approx(1200.0)


@pytest.mark.parametrize(("ratio", "limit"), [(100.0, 4.0), (0.01, 0.5)])
def test_ratio_stays_within_its_limits(ratio, limit):
    """Guards against corrections that grow or shrink without bound."""
    ratios = placement.UsageRatios()
    for _ in range(50):
        ratios.observe(METHOD, DECLARED, used(ratio))
    corrected = ratios.corrected(METHOD, DECLARED, DECLARED.scaled(10.0))
    assert corrected.cores == pytest.approx(2.0 * limit)


def test_correction_does_not_make_a_task_impossible():
    """Guards against refusing a task because of its learned usage."""
    ratios = placement.UsageRatios()
    for _ in range(50):
        ratios.observe(METHOD, DECLARED, used(4.0))
    largest = resources.Resources(cores=3.0, memory_mb=1500.0)
    corrected = ratios.corrected(METHOD, DECLARED, largest)
    assert corrected.fits(largest)


def test_workers_are_not_filled_beyond_their_capacity(make_harness):
    """Guards against overcommitted workers."""
    harness = make_harness(minions=0, workers=2, cores=8.0)
    demand = resources.Resources(cores=3.0, memory_mb=10.0)
    harness.submit(10, kind=JOB, demand=demand)
    harness.deliver()
    running = [len(each.running) for each in harness.executors.values()]
    assert running == [2, 2]


def test_learned_usage_limits_concurrent_tasks(make_harness):
    """Guards against overload by tasks that declare too few resources."""
    harness = make_harness(minions=0, workers=1, cores=8.0)
    demand = resources.Resources(cores=2.0)
    for _ in range(12):
        harness.submit(kind=JOB, demand=demand)
        harness.finish(used=resources.Resources(cores=4.0))
    harness.submit(10, kind=JOB, demand=demand)
    harness.deliver()
    assert len(harness.running()) == 2


@pytest.mark.parametrize("count", [2, 6, 30])
def test_job_is_spread_over_failure_domains(make_harness, count):
    """Guards against a job with every task in one failure domain or rack."""
    harness = make_harness(minions=0, workers=9)
    harness.submit(count, kind=JOB)
    harness.deliver()
    domains = collections.Counter()
    racks = collections.Counter()
    for executor in harness.executors.values():
        domains[executor.member.failure_domain] += len(executor.running)
        racks[executor.member.rack] += len(executor.running)
    assert max(domains.values()) < count
    assert max(racks.values()) < count


def test_large_task_does_not_block_smaller_ones(make_harness):
    """Guards against head-of-line blocking by a task without a fit."""
    harness = make_harness(minions=0, workers=2, cores=8.0)
    small = resources.Resources(cores=1.0)
    harness.submit(4, kind=JOB, demand=small)
    harness.deliver()
    large = resources.Resources(cores=8.0)
    waiting = harness.submit(kind=JOB, demand=large, budget_s=10.0)
    later = harness.submit(4, kind=JOB, demand=small)
    harness.deliver()
    started = [key.work_id for key in harness.running()]
    assert started.count(later) == 4
    harness.finish()
    assert harness.answer(waiting).state == work.WorkState.COMPLETE
