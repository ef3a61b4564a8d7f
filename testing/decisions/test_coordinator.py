"""Tests of the coordinator: one complete answer per submission."""

import pytest

from _jasminewind import errors
from _jasminewind import members
from _jasminewind import metrics
from _jasminewind.decisions import id_checks
from _jasminewind.messages import ownership as ownership_messages
from _jasminewind.messages import tasks
from _jasminewind.messages import work
from testing.decisions import conftest
from testing.decisions import fakes

JOB = work.WorkKind.JOB
Outcome = errors.Outcome
Code = errors.Code


def test_job_answer_is_whole_and_in_order(make_harness):
    """Guards against outputs in the order in which tasks finish."""
    harness = make_harness(minions=0, workers=3)
    work_id = harness.submit(20, kind=JOB)
    harness.deliver()
    for executor in reversed(list(harness.executors.values())):
        for key in reversed(list(executor.running)):
            assert harness.answer(work_id) is None
            harness.receive(executor.node, executor.end(key))
    answer = harness.answer(work_id)
    assert answer.state == work.WorkState.COMPLETE
    payloads = [each.payload for each in answer.outputs]
    assert payloads == [f'"{index}"' for index in range(20)]


def test_resubmission_of_running_id_joins_it(harness):
    """Guards against a second start when a client resubmits a running job."""
    work_id = harness.submit()
    harness.submit(work_id=work_id, sender=conftest.OTHER_ENTRY)
    harness.finish()
    first = harness.answer(work_id)
    assert first.state == work.WorkState.COMPLETE
    assert harness.answer(work_id, conftest.OTHER_ENTRY) == first
    received = [each.received for each in harness.executors.values()]
    assert sum(len(keys) for keys in received) == 1


def test_resubmission_of_finished_id_gets_stored_answer(harness):
    """Guards against running a finished request again."""
    work_id = harness.submit()
    harness.finish()
    harness.submit(work_id=work_id, sender=conftest.OTHER_ENTRY)
    stored = harness.answer(work_id, conftest.OTHER_ENTRY)
    assert stored == harness.answer(work_id)
    assert not harness.undelivered


def test_failed_task_fails_the_job_and_stops_the_rest(make_harness):
    """Guards against partial answers, and tasks left running after them."""
    harness = make_harness(minions=0, workers=2, cores=8.0)
    work_id = harness.submit(20, kind=JOB)
    harness.deliver()
    executor = next(
        each for each in harness.executors.values() if each.running
    )
    key = next(iter(executor.running))
    error = conftest.failure(Outcome.FAILED_WHILE_RUNNING)
    harness.receive(executor.node, executor.end(key, error=error))
    answer = harness.answer(work_id)
    assert answer.state == work.WorkState.FAILED
    assert answer.outputs == ()
    assert answer.error.outcome == Outcome.FAILED_WHILE_RUNNING
    harness.deliver()
    assert not harness.running()
    harness.finish()
    assert len(harness.answers) == 1
    assert harness.coordinator.status().tasks_waiting == 0


def test_cancel_before_any_start_is_not_run(make_harness):
    """Guards against MAY_HAVE_RUN for work that was never sent."""
    harness = make_harness(minions=1, slots=1)
    running = harness.submit()
    queued = harness.submit()
    harness.receive(conftest.ENTRY, work.Cancel(work_id=queued))
    error = harness.answer(queued).error
    assert (error.code, error.outcome) == (Code.CANCELED, Outcome.NOT_RUN)
    harness.finish()
    received = next(iter(harness.executors.values())).received
    assert [key.work_id for key in received] == [running]


def test_cancel_after_a_start_may_have_run(harness):
    """Guards against NOT_RUN for work that an executor may have started."""
    work_id = harness.submit()
    harness.receive(conftest.ENTRY, work.Cancel(work_id=work_id))
    error = harness.answer(work_id).error
    assert error.code == Code.CANCELED
    assert error.outcome == Outcome.MAY_HAVE_RUN


def test_cancellation_wave_is_one_message_per_executor(make_harness):
    """Guards against a message per task when many tasks are cancelled."""
    harness = make_harness(minions=0, workers=3)
    work_id = harness.submit(60, kind=JOB)
    harness.deliver()
    harness.receive(conftest.ENTRY, work.Cancel(work_id=work_id))
    assert len(harness.undelivered) <= 3
    harness.deliver()
    assert not harness.running()
    later = harness.submit(60, kind=JOB)
    harness.finish()
    assert harness.answer(later).state == work.WorkState.COMPLETE


def test_id_ahead_waits_for_the_interval(harness):
    """Guards against rejecting an id slightly ahead of the interval."""
    harness.ownership.kind = id_checks.IdCheckKind.AHEAD
    work_id = harness.submit()
    assert harness.ownership.wanted == [work_id]
    assert not harness.undelivered
    harness.advance(0.5)
    harness.ownership.kind = id_checks.IdCheckKind.ACCEPT
    harness.advance(0.1)
    harness.finish()
    assert harness.answer(work_id).state == work.WorkState.COMPLETE


def test_id_that_stays_ahead_is_answered(harness):
    """Guards against a submission that is pending for ever."""
    harness.ownership.kind = id_checks.IdCheckKind.AHEAD
    work_id = harness.submit()
    harness.advance(2.1)
    assert harness.answer(work_id).error.outcome == Outcome.MAY_HAVE_RUN
    assert not harness.coordinator.has_work()


def test_cancel_of_a_pending_id_prevents_its_start(harness):
    """Guards against starting a submission cancelled while pending."""
    harness.ownership.kind = id_checks.IdCheckKind.AHEAD
    work_id = harness.submit()
    harness.receive(conftest.ENTRY, work.Cancel(work_id=work_id))
    assert harness.answer(work_id).error.outcome == Outcome.NOT_RUN
    harness.ownership.kind = id_checks.IdCheckKind.ACCEPT
    harness.advance(1.0)
    harness.submit(work_id=work_id, sender=conftest.OTHER_ENTRY)
    assert not harness.undelivered


def test_id_of_another_owner_is_redirected(harness):
    """Guards against starting an id that another process owns."""
    owner = members.NodeId("agent-9", 4)
    harness.ownership.kind = id_checks.IdCheckKind.NOT_OWNER
    harness.ownership.interval = conftest.row_interval(owner)
    harness.submit()
    assert harness.sent[-1].message.owner == owner
    assert not harness.undelivered


def test_id_of_a_lost_interval_may_have_run(harness):
    """Guards against running an id that an earlier owner may have run."""
    harness.ownership.kind = id_checks.IdCheckKind.EARLIER
    work_id = harness.submit()
    assert harness.answer(work_id).error.outcome == Outcome.MAY_HAVE_RUN
    assert not harness.undelivered


def test_handed_over_answer_is_found(harness):
    """Guards against lost answers when an owner shuts down gracefully."""
    work_id = harness.new_id()
    answer = work.Answer(
        work_id=work_id,
        state=work.WorkState.FAILED,
        error=conftest.failure(Outcome.FAILED_WHILE_RUNNING),
    )
    sender = members.NodeId("agent-8", 1)
    message = ownership_messages.HandOver(shard=1, epoch=4, answers=(answer,))
    harness.receive(sender, message)
    ack = harness.sent[-1].message
    assert isinstance(ack, ownership_messages.HandOverAck)
    harness.ownership.kind = id_checks.IdCheckKind.EARLIER
    harness.submit(work_id=work_id)
    assert harness.answer(work_id) == answer


@pytest.mark.parametrize("finished", [False, True])
def test_query_tells_the_state(harness, finished):
    """Guards against a status without the known state or answer."""
    work_id = harness.submit()
    state = work.WorkState.RUNNING
    if finished:
        harness.finish()
        state = work.WorkState.COMPLETE
    query = work.QueryWork(work_id=work_id, query_id=5)
    harness.receive(conftest.ENTRY, query)
    status = harness.sent[-1].message
    assert (status.query_id, status.state) == (5, state)
    assert status.answer == harness.answer(work_id)


def test_newer_configuration_is_fetched_before_work_starts(harness):
    """Guards against starting work under an outdated configuration."""
    message = work.Submit(
        work_id=harness.new_id(),
        kind=work.WorkKind.REQUEST,
        team="red",
        tasks=(work.Task(name="a", service="orders", method="quote"),),
        budget_s=10.0,
        config_version=99,
    )
    harness.receive(conftest.ENTRY, message)
    assert not harness.undelivered
    assert harness.sent[-1].message.have_version == harness.config.version
    harness.config = harness.config.__class__(
        version=98, teams=harness.config.teams
    )
    harness.configure()
    harness.finish()
    answer = harness.answer(message.work_id)
    assert answer.state == work.WorkState.COMPLETE


def test_results_are_always_acknowledged(harness):
    """Guards against an executor that resends an unknown result for ever."""
    executor = next(iter(harness.executors.values()))
    key = tasks.TaskKey(harness.new_id(), 0, 0)
    executor.done[key] = tasks.TaskResult(key=key, run_s=0.1)
    harness.receive(executor.node, executor.results(key))
    assert harness.sent[-1].message == tasks.ResultsAck(keys=(key,))
    assert harness.sent[-1].to == executor.node


def test_forgotten_id_is_answered_and_not_started(harness):
    """Guards against a second run of an id whose record has expired."""
    work_id = harness.submit()
    harness.finish()
    harness.advance(700.0, step_s=10.0)
    assert harness.coordinator.status().records == 0
    harness.submit(work_id=work_id, sender=conftest.OTHER_ENTRY)
    answer = harness.answer(work_id, conftest.OTHER_ENTRY)
    assert answer.error.outcome == Outcome.MAY_HAVE_RUN
    assert not harness.undelivered


def test_full_store_refuses_and_remembers_it(harness):
    """Guards against running an id that was answered NOT_RUN."""
    harness.coordinator.store.max_records = 1
    harness.submit()
    refused = harness.submit()
    assert harness.answer(refused).error.outcome == Outcome.NOT_RUN
    harness.coordinator.store.max_records = 2
    harness.submit(work_id=refused, sender=conftest.OTHER_ENTRY)
    stored = harness.answer(refused, conftest.OTHER_ENTRY)
    assert stored == harness.answer(refused)
    harness.finish()
    received = [each.received for each in harness.executors.values()]
    assert sum(len(keys) for keys in received) == 1


def test_join_only_joins_running_work(harness):
    """Guards against NOT_RUN for a resubmission of running work."""
    work_id = harness.submit()
    harness.submit(
        work_id=work_id, sender=conftest.OTHER_ENTRY, join_only=True
    )
    harness.finish()
    answer = harness.answer(work_id, conftest.OTHER_ENTRY)
    assert answer == harness.answer(work_id)


def test_join_only_of_a_new_id_is_refused_for_ever(harness):
    """Guards against a late copy that runs after NOT_RUN was answered."""
    work_id = harness.submit(join_only=True)
    assert harness.answer(work_id).error.outcome == Outcome.NOT_RUN
    harness.submit(work_id=work_id, sender=conftest.OTHER_ENTRY)
    answer = harness.answer(work_id, conftest.OTHER_ENTRY)
    assert answer == harness.answer(work_id)
    assert not harness.undelivered


def test_join_only_does_not_hold_back_pending_work(harness):
    """Guards against refusing a submission after a join-only copy of it.

    The copy is still pending when the submission itself arrives.
    """
    harness.ownership.kind = id_checks.IdCheckKind.AHEAD
    work_id = harness.submit(join_only=True)
    harness.submit(work_id=work_id, sender=conftest.OTHER_ENTRY)
    harness.ownership.kind = id_checks.IdCheckKind.ACCEPT
    harness.advance(0.1)
    harness.finish()
    answer = harness.answer(work_id, conftest.OTHER_ENTRY)
    assert answer.state == work.WorkState.COMPLETE
    assert answer == harness.answer(work_id)


@pytest.mark.parametrize(
    ("kind", "may_have_run"),
    [
        (id_checks.IdCheckKind.ACCEPT, False),
        (id_checks.IdCheckKind.AHEAD, True),
        (id_checks.IdCheckKind.EARLIER, True),
        (id_checks.IdCheckKind.UNKNOWN, True),
    ],
)
def test_unknown_id_is_unseen_only_in_the_own_interval(
    harness, kind, may_have_run
):
    """Guards against "has not run" for an id another owner may have run."""
    harness.ownership.kind = kind
    query = work.QueryWork(work_id=harness.new_id(), query_id=5)
    harness.receive(conftest.ENTRY, query)
    status = harness.sent[-1].message
    assert status.state == work.WorkState.UNKNOWN
    assert status.may_have_run is may_have_run


def test_starts_and_refusals_are_measured(harness):
    """Guards against metrics that stay at zero while work runs."""
    meter = fakes.Meter()
    harness.coordinator.meter = meter
    harness.coordinator.dispatcher.meter = meter
    harness.submit()
    harness.submit(team="unknown")
    harness.finish()
    assert meter.total(metrics.TASK_STARTS) == 1
    assert meter.total(metrics.TASK_RETRIES) == 0
    assert meter.total(metrics.REFUSALS) == 1
    assert meter.values[metrics.QUEUE_TIME.name] == [0.0]
    assert meter.values[metrics.RUN_TIME.name] == [0.1]


class Freshness:
    """Fake freshness, which the test sets."""

    def __init__(self):
        self.is_confirmed = False

    def is_fresh(self, now):
        """Return the value set by the test."""
        del now
        return self.is_confirmed


@pytest.fixture
def unconfirmed(harness):
    """Return a harness whose configuration is unconfirmed."""
    harness.coordinator.freshness = Freshness()
    return harness


def test_new_owner_waits_for_its_first_confirmation(unconfirmed):
    """Guards against refusals while a shard moves to a new process.

    In a rolling replacement under load, the new owner has only just asked
    an entry to confirm its configuration.
    """
    work_id = unconfirmed.submit()
    unconfirmed.advance(0.3)
    assert unconfirmed.answer(work_id) is None
    unconfirmed.coordinator.freshness.is_confirmed = True
    unconfirmed.advance(0.1)
    unconfirmed.finish()
    assert unconfirmed.answer(work_id).state == work.WorkState.COMPLETE


def test_owner_without_any_confirmation_refuses_as_not_run(unconfirmed):
    """Guards against submissions held by a partitioned owner."""
    first = unconfirmed.submit()
    unconfirmed.advance(1.6)
    assert unconfirmed.answer(first).error.outcome == Outcome.NOT_RUN
    second = unconfirmed.submit()
    assert unconfirmed.answer(second).error.outcome == Outcome.NOT_RUN
    assert not unconfirmed.undelivered


def query(harness, work_id, **fields):
    """Ask for the state of an id and return the reply."""
    message = work.QueryWork(work_id=work_id, query_id=1, **fields)
    harness.receive(conftest.ENTRY, message)
    return harness.sent[-1].message


def test_an_id_that_an_entry_refuses_is_not_accepted_later(harness):
    """Guards against a start after an entry has said that nothing was run."""
    work_id = harness.new_id()
    status = query(harness, work_id, refuse_unknown=True)
    assert (status.state, status.may_have_run) == (
        work.WorkState.UNKNOWN,
        False,
    )
    harness.submit(work_id=work_id, sender=conftest.OTHER_ENTRY)
    error = harness.answer(work_id, conftest.OTHER_ENTRY).error
    assert error.outcome == Outcome.NOT_RUN
    assert not harness.undelivered


def test_a_query_of_an_unknown_id_does_not_refuse_it(harness):
    """Guards against a follower that keeps its job from being accepted."""
    work_id = harness.new_id()
    assert query(harness, work_id).state is work.WorkState.UNKNOWN
    harness.submit(work_id=work_id)
    harness.finish()
    assert harness.answer(work_id).state == work.WorkState.COMPLETE


def test_a_refusal_that_cannot_be_recorded_may_have_run(harness):
    """Guards against NOT_RUN without a record that prevents a later start."""
    harness.coordinator.store.max_refusals = 0
    status = query(harness, harness.new_id(), refuse_unknown=True)
    assert status.may_have_run


@pytest.mark.parametrize(
    "kind", [k for k in id_checks.IdCheckKind if k.value != "accept"]
)
def test_an_id_outside_the_interval_is_not_refused(harness, kind):
    """Guards against NOT_RUN for an id that another process may accept."""
    harness.ownership.kind = kind
    status = query(harness, harness.new_id(), refuse_unknown=True)
    assert status.may_have_run
    assert not harness.coordinator.store.records
