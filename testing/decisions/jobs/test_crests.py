"""Placement at the crest of a demand swing, beside the baselines.

Pattern: jobs of three kinds arrive in waves that a planning office
releases. Endpoints differ in speed and size, and three entries place on
them without asking each other.
"""

import statistics

import pytest

from _jasminewind import metrics
from testing.decisions import fakes
from testing.decisions.jobs import loads

# Mean rate of jobs: about half of the capacity, so that crests use 0.8 of it.
JOBS_PER_S = 60.0
CREST_S = 16.0
BASELINES = ("least_outstanding", "round_robin", "random")


def play(placement, *, seed=1):
    """Return the load after it was played, and the orders refused."""
    world = loads.fleet(placement=placement, seed=seed)
    meter = fakes.Meter()
    for process in world.processes.values():
        process.decision.meter = meter
    crest = loads.Crest(world, per_s=JOBS_PER_S, seed=seed)
    crest.run(CREST_S)
    assert not world.broken()
    return crest, meter


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_entries_do_not_meet_at_the_fastest_endpoint(seed):
    """Guards against orders that bounce while equal endpoints are idle.

    The project's target for wasted messages is 0.1 of the tasks.
    """
    crest, meter = play("expected_end", seed=seed)
    tasks = sum(kind.count for kind, _, _ in crest.arrived.values())
    assert meter.total(metrics.ORDERS_REFUSED) <= 0.1 * tasks


def test_placement_serves_more_in_time_than_each_baseline():
    """Guards against a policy that is no better than a plain one."""
    served = {
        name: statistics.mean(play(name)[0].in_time().values())
        for name in ("expected_end", *BASELINES)
    }
    assert served["expected_end"] == max(served.values()), served
