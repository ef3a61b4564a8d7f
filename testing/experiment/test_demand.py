"""Tests of the workload generator."""

import pytest

from _jasminewind.experiment import demand
from _jasminewind.messages import work

LEVEL = demand.Level(length_s=20.0, requests_per_s=100.0, jobs_per_s=5.0)


@pytest.fixture(params=sorted(demand.PROFILES))
def profile(request):
    return demand.PROFILES[request.param]


def test_same_seed_gives_same_demand(profile):
    """An unseeded draw would compare policies under different loads."""
    first = demand.generate(profile, [LEVEL], seed=7)
    assert first == demand.generate(profile, [LEVEL], seed=7)
    assert first != demand.generate(profile, [LEVEL], seed=8)


def test_rate_follows_level_in_spite_of_swings(profile):
    """Rate changes without normalisation would alter the stated load."""
    submissions = demand.generate(profile, [LEVEL], seed=1)
    requests = [s for s in submissions if s.kind is work.WorkKind.REQUEST]
    assert len(requests) == pytest.approx(2000, rel=0.1)
    assert [s.at_s for s in submissions] == sorted(s.at_s for s in submissions)
    assert all(0.0 <= s.at_s < LEVEL.length_s for s in submissions)


def test_run_times_have_the_stated_mix(profile):
    """A workload without long tasks would hide head-of-line blocking."""
    submissions = demand.generate(profile, [LEVEL], seed=2)
    times = [task.run_s for each in submissions for task in each.tasks]
    short = [t for t in times if 0.05 <= t <= 1.0]
    assert len(short) / len(times) > 0.9
    assert any(t >= 5.0 for t in times)
    mean = sum(times) / len(times)
    assert mean == pytest.approx(profile.mean_s(), rel=0.15)


def test_declarations_are_often_far_off(profile):
    """Accurate declarations would favour policies that trust them."""
    submissions = demand.generate(profile, [LEVEL], seed=3)
    tasks = [task for each in submissions for task in each.tasks]
    inaccurate = [
        t
        for t in tasks
        if t.declared_s > 0 and not 0.5 < t.declared_s / t.run_s < 2.0
    ]
    assert len(inaccurate) / len(tasks) > 0.2
    assert any(t.declared_s == 0.0 for t in tasks)


def test_no_long_work_after_its_limit(profile):
    """Late long tasks would delay a phase or run into the next one."""
    submissions = demand.generate(profile, [LEVEL], seed=4, long_until_s=5.0)
    late = [s for s in submissions if s.at_s >= 5.0]
    longest = max(t.run_s for each in late for t in each.tasks)
    assert longest <= demand.MAX_SHORT_RUN_S


def test_job_sizes_are_within_the_limit(profile):
    """Jobs above the task limit would be refused and distort goodput."""
    submissions = demand.generate(profile, [LEVEL], seed=5)
    sizes = [len(s.tasks) for s in submissions if s.kind is work.WorkKind.JOB]
    assert max(sizes) <= demand.MAX_JOB_TASKS
    assert len(set(sizes)) > 5


def test_numbers_and_ids_are_unique(profile):
    """Two submissions with one id would share one answer."""
    submissions = demand.generate(profile, [LEVEL], seed=6, first_number=50)
    assert len({s.number for s in submissions}) == len(submissions)
    assert min(s.number for s in submissions) == 50
    assert len({s.work_id(1_800_000_000_000) for s in submissions}) == len(
        submissions
    )
