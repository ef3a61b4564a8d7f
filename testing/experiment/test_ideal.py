"""Tests of the ideal schedule."""

import random

import pytest

from _jasminewind.experiment import ideal

SPEEDS = (1.5, 1.0, 1.0, 0.7)


def arrivals(seed, *, count=200, gap_s=0.12):
    rng = random.Random(seed)
    now_s = 0.0
    found = []
    for _ in range(count):
        now_s += rng.expovariate(1.0 / gap_s)
        found.append(ideal.Arrival(at_s=now_s, run_s=rng.uniform(0.05, 1.0)))
    return found


def test_lone_task_takes_fastest_slot():
    """An ideal on a slow slot would make every ratio look better."""
    lone = [ideal.Arrival(at_s=3.0, run_s=0.6)]
    assert ideal.response_times(lone, SPEEDS) == [pytest.approx(0.4)]


def test_waiting_is_counted():
    """Without the wait, load alone would make ratios miss their target."""
    both = [ideal.Arrival(at_s=0.0, run_s=1.0)] * 2
    assert ideal.response_times(both, (1.0,)) == [1.0, 2.0]


def test_short_task_goes_before_long_one_that_waits():
    """An ideal in order of arrival is not the best when work waits."""
    queue = [
        ideal.Arrival(at_s=0.0, run_s=1.0),
        ideal.Arrival(at_s=0.1, run_s=5.0),
        ideal.Arrival(at_s=0.2, run_s=0.1),
    ]
    found = ideal.response_times(queue, (1.0,))
    assert found == pytest.approx([1.0, 6.0, 0.9])


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "schedule", [ideal.earliest_completion, ideal.shortest_first]
)
def test_schedule_does_not_exceed_slots(schedule, seed):
    """A schedule above the capacity would be no bound to compare with."""
    work = arrivals(seed)
    found = schedule(work, SPEEDS)
    lowest = [each.run_s / max(SPEEDS) for each in work]
    assert all(f >= low - 1e-9 for f, low in zip(found, lowest, strict=True))
    end_s = max(each.at_s + f for each, f in zip(work, found, strict=True))
    begin_s = min(each.at_s for each in work)
    needed_s = sum(each.run_s for each in work) / sum(SPEEDS)
    assert end_s - begin_s >= needed_s


@pytest.mark.parametrize("seed", range(5))
def test_order_of_arguments_does_not_matter(seed):
    """Records that are not sorted by time would get wrong ideals."""
    work = arrivals(seed)
    found = ideal.response_times(work, SPEEDS)
    backwards = ideal.response_times(work[::-1], SPEEDS)
    assert backwards[::-1] == pytest.approx(found)
