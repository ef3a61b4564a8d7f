"""Tests of quotas, deadlines, queue limits and the shrink rule."""

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import resources
from _jasminewind.messages import work

JOB = work.WorkKind.JOB
COMPLETE = work.WorkState.COMPLETE
NOT_RUN = errors.Outcome.NOT_RUN
EXHAUSTED = errors.Code.RESOURCE_EXHAUSTED


def refusals(harness):
    """Return the errors of all answers so far."""
    found = [answer.error for _, answer in harness.answers if answer.error]
    for error in found:
        assert (error.outcome, error.code) == (NOT_RUN, EXHAUSTED)
    return found


def test_team_quota_in_flight(harness):
    """Guards against one team that fills every queue."""
    red = configuration.Team(name="red", max_in_flight=10)
    blue = configuration.Team(name="blue")
    harness.configure(teams=(red, blue))
    for _ in range(30):
        harness.submit(team="red")
    assert len(refusals(harness)) == 20
    work_id = harness.submit(team="blue")
    harness.finish()
    assert harness.answer(work_id).state == COMPLETE
    again = harness.submit(team="red")
    harness.finish()
    assert harness.answer(again).state == COMPLETE


def test_quota_is_split_over_the_owned_shards(harness):
    """Guards against owners that together exceed a team's quota."""
    harness.ownership.owned = lambda: (0,)
    red = configuration.Team(name="red", max_in_flight=40)
    harness.configure(teams=(red,), shard_count=4)
    for _ in range(30):
        harness.submit(team="red")
    assert len(refusals(harness)) == 20


def test_small_quota_still_admits_one_large_job(make_harness):
    """Guards against a job that a split quota refuses for ever."""
    harness = make_harness(minions=0, workers=2)
    harness.ownership.owned = lambda: (0,)
    red = configuration.Team(name="red", max_in_flight=40)
    harness.configure(teams=(red,), shard_count=4)
    work_id = harness.submit(30, kind=JOB)
    harness.submit(30, kind=JOB)
    assert len(refusals(harness)) == 1
    harness.finish()
    assert harness.answer(work_id).state == COMPLETE


def test_starts_per_second(harness):
    """Guards against a team that exceeds its rate."""
    red = configuration.Team(name="red", starts_per_s=10.0)
    harness.configure(teams=(red,))
    for _ in range(30):
        harness.submit()
    assert len(refusals(harness)) == 20
    harness.finish()
    harness.advance(0.5)
    for _ in range(10):
        harness.submit()
    assert len(refusals(harness)) == 25


def test_queue_limit(make_harness):
    """Guards against memory that grows with a burst."""
    harness = make_harness(minions=1, slots=1)
    harness.configure(limits=configuration.Limits(max_queued=50))
    for _ in range(200):
        # A deadline far away, so that only the limit refuses.
        harness.submit(budget_s=3_000.0)
    harness.deliver()
    assert harness.coordinator.status().tasks_waiting <= 50
    assert len(refusals(harness)) == 200 - 51


def test_burst_is_shed_by_deadline(make_harness):
    """Guards against queueing work that can only miss its deadline."""
    harness = make_harness(minions=2, slots=2)
    for _ in range(40):
        harness.submit()
    harness.finish(run_s=0.5)
    done = len(harness.answers)
    for _ in range(100):
        harness.submit(budget_s=2.0)
    refused = len(refusals(harness))
    # Four tasks of 0.5 s run, and about as many may wait a quarter of 2 s.
    assert 90 <= refused <= 94
    harness.finish()
    assert len(harness.answers) == done + 100


def test_tight_deadline_is_not_charged_for_patient_work(make_harness):
    """Guards against refusing work that would be served first."""
    harness = make_harness(minions=1, slots=1)
    for _ in range(40):
        harness.submit()
        harness.finish(run_s=0.5)
    for _ in range(50):
        harness.submit(budget_s=600.0)
    harness.deliver()
    urgent = harness.submit(budget_s=3.0)
    assert harness.answer(urgent) is None
    harness.end_all(run_s=0.5)
    assert harness.undelivered[-1].message.starts[0].key.work_id == urgent


def test_wrong_declaration_does_not_refuse_work(harness):
    """Guards against refusing work for ever over a wrong declaration."""
    work_id = harness.submit(budget_s=5.0, expected_s=500.0)
    harness.finish()
    assert harness.answer(work_id).state == COMPLETE


def test_job_that_no_worker_can_hold_is_refused(make_harness):
    """Guards against a job that waits for a worker that does not exist."""
    harness = make_harness(minions=0, workers=2, cores=32.0)
    demand = resources.Resources(cores=33.0)
    work_id = harness.submit(3, kind=JOB, demand=demand)
    error = harness.answer(work_id).error
    assert error.code == errors.Code.FAILED_PRECONDITION
    assert error.outcome == NOT_RUN


def test_unknown_team_and_service_are_refused(harness):
    """Guards against work that nobody configured."""
    for fields in ({"team": "green"}, {"service": "invoices"}):
        error = harness.answer(harness.submit(**fields)).error
        assert error.code == errors.Code.FAILED_PRECONDITION
        assert error.outcome == NOT_RUN


def test_refused_id_does_not_run_later(make_harness):
    """Guards against a late copy of a submission that was refused."""
    harness = make_harness(minions=1, slots=1)
    harness.configure(limits=configuration.Limits(max_queued=0))
    work_id = harness.submit()
    harness.configure(limits=configuration.Limits())
    harness.answers.clear()
    harness.submit(work_id=work_id)
    assert harness.answer(work_id).error.outcome == NOT_RUN
    assert not harness.undelivered


def test_shrunk_view_caps_admission(make_harness):
    """Guards against shifting the load of silent keepers to the rest."""
    harness = make_harness(minions=9, slots=4)
    names = tuple(f"minion-{index}" for index in range(6))
    harness.announce(suspects=names)
    for _ in range(60):
        harness.submit()
    # Three keepers with 4 slots and a queue of 2 each are left.
    assert len(refusals(harness)) == 60 - 18
