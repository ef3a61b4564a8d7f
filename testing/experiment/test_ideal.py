"""Tests of the ideal schedules."""

import random

import pytest

from _jasminewind.experiment import ideal

SPEEDS = (1.5, 1.0, 1.0, 0.7)


def arrivals(seed, *, count=200, gap_s=0.12):
    rng = random.Random(seed)
    now_s = 0.0
    result = []
    for _ in range(count):
        now_s += rng.expovariate(1.0 / gap_s)
        result.append(ideal.Arrival(at_s=now_s, run_s=rng.uniform(0.05, 1.0)))
    return result


def test_lone_task_takes_fastest_slot():
    """An ideal time on a slower slot would lower every ratio."""
    lone = [ideal.Arrival(at_s=3.0, run_s=0.6)]
    assert ideal.response_times(lone, SPEEDS) == [pytest.approx(0.4)]


def test_waiting_is_counted():
    """An ideal without queueing would raise ratios by load alone."""
    both = [ideal.Arrival(at_s=0.0, run_s=1.0)] * 2
    assert ideal.response_times(both, (1.0,)) == [1.0, 2.0]


def test_short_task_goes_before_long_one_that_waits():
    """First-come-first-served order is not optimal for a queue."""
    queue = [
        ideal.Arrival(at_s=0.0, run_s=1.0),
        ideal.Arrival(at_s=0.1, run_s=5.0),
        ideal.Arrival(at_s=0.2, run_s=0.1),
    ]
    result = ideal.response_times(queue, (1.0,))
    assert result == pytest.approx([1.0, 6.0, 0.9])


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "schedule", [ideal.earliest_completion, ideal.shortest_first]
)
def test_schedule_does_not_exceed_slots(schedule, seed):
    """A schedule that overcommits slots would be an unreachable bound."""
    work = arrivals(seed)
    result = schedule(work, SPEEDS)
    for each, placed in zip(work, result, strict=True):
        assert placed.start_s >= each.at_s - 1e-9
        length_s = placed.end_s - placed.start_s
        assert length_s == pytest.approx(each.run_s / placed.speed)
    for speed in set(SPEEDS):
        same_speed = [p for p in result if p.speed == speed]
        start_times_s = [p.start_s for p in same_speed]
        running = [
            sum(1 for p in same_speed if p.start_s <= at_s < p.end_s - 1e-9)
            for at_s in start_times_s
        ]
        assert max(running, default=0) <= SPEEDS.count(speed)


def test_work_done_is_bounded_by_slots_and_arrivals():
    """An unbounded value would compare goodput with excess capacity."""
    flood = [ideal.Arrival(at_s=1.0, run_s=0.5)] * 100
    done_s = ideal.work_done(flood, SPEEDS, begin_s=1.0, end_s=2.0)
    assert done_s == pytest.approx(sum(SPEEDS))
    done_s = ideal.work_done(flood[:2], SPEEDS, begin_s=0.0, end_s=9.0)
    assert done_s == pytest.approx(1.0)


@pytest.mark.parametrize("seed", range(5))
def test_order_of_arguments_does_not_matter(seed):
    """Records that are not sorted by time must get the same ideals."""
    work = arrivals(seed)
    result = ideal.response_times(work, SPEEDS)
    backwards = ideal.response_times(work[::-1], SPEEDS)
    assert backwards[::-1] == pytest.approx(result)
