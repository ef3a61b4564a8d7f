"""Tests of deduplication and retention of submissions."""

import pytest

from _jasminewind import errors
from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions import submission_store
from _jasminewind.messages import ownership as messages
from _jasminewind.messages import work
from testing.decisions import fakes

ENTRY = members.NodeId("entry-1", 1)
OTHER = members.NodeId("entry-2", 1)


def submit(seed=0, time_ms=fakes.START_MS):
    """Return a submission whose id has a given timestamp."""
    return work.Submit(
        work_id=fakes.work_id(time_ms, seed=seed),
        kind=work.WorkKind.JOB,
        team="orders",
        tasks=(),
        budget_s=1.0,
        config_version=1,
    )


def complete(work_id):
    """Return a successful answer for an id."""
    return work.Answer(work_id=work_id, state=work.WorkState.COMPLETE)


def not_run():
    """Return the error of refused work."""
    return errors.WorkError(
        code=errors.Code.RESOURCE_EXHAUSTED,
        outcome=errors.Outcome.NOT_RUN,
        reason="the queue is full",
    )


class Floors:
    """Fake ownership that records raised floors; it may accept ids."""

    def __init__(self, *, accepts=False):
        self.accepts = accepts
        self.raised = {}

    def expire(self, store, now_s):
        """Expire the records of ``store``."""
        return store.expire(
            core.Instant(now_s, 0),
            raise_floor=self.raised.__setitem__,
            is_accepted=lambda work_id: self.accepts,
        )


@pytest.fixture
def store():
    """Return a store limited to two records."""
    return submission_store.SubmissionStore(max_records=2)


def test_resubmission_joins_and_both_get_the_one_answer(store):
    """Guards against a second start, and a requester without an answer."""
    first = store.accept(submit(), shard=0, sender=ENTRY).unwrap()
    second = store.accept(submit(), shard=0, sender=OTHER).unwrap()
    assert (first.is_new, second.is_new) == (True, False)
    answer = complete(submit().work_id)
    now = core.Instant(1.0, fakes.START_MS)
    assert store.finish(answer, now) == (ENTRY, OTHER)
    assert store.finish(answer, now) == ()


def test_forgotten_id_is_not_taken_for_a_new_one(store):
    """Guards against a second run after the record has expired."""
    store.accept(submit(), shard=0, sender=ENTRY).unwrap()
    store.finish(complete(submit().work_id), core.Instant(1.0, 0))
    floors = Floors()
    assert floors.expire(store, 600.9) == ()
    assert floors.expire(store, 601.0) == (0,)
    assert floors.raised == {0: fakes.START_MS}
    assert store.find(submit().work_id) is None
    error = store.accept(submit(), shard=0, sender=ENTRY).unwrap_err()
    assert error.refusal is submission_store.Refusal.FORGOTTEN


def test_full_store_refuses_and_forgets_nothing(store):
    """Guards against eviction of a record to make room for another."""
    for seed in (1, 2):
        store.accept(submit(seed), shard=0, sender=ENTRY).unwrap()
    error = store.accept(submit(3), shard=0, sender=ENTRY).unwrap_err()
    assert error.refusal is submission_store.Refusal.FULL
    assert not store.accept(submit(1), shard=0, sender=ENTRY).unwrap().is_new


def test_handed_over_records_answer_resubmissions(store):
    """Guards against lost answers after a graceful shutdown."""
    answer = complete(submit().work_id)
    message = messages.HandOver(
        shard=0, epoch=3, answers=(answer,), sequence=7
    )
    ack = store.receive(message, core.Instant(1.0, 0))
    assert (ack.epoch, ack.sequence) == (3, 7)
    assert store.find(answer.work_id).answer == answer


def test_id_that_is_still_accepted_is_not_forgotten(store):
    """Guards against a second start when the floor cannot be raised."""
    store.accept(submit(), shard=0, sender=ENTRY).unwrap()
    store.finish(complete(submit().work_id), core.Instant(1.0, 0))
    Floors(accepts=True).expire(store, 601.0)
    assert not store.accept(submit(), shard=0, sender=ENTRY).unwrap().is_new
    Floors().expire(store, 1201.0)
    assert len(store) == 0


def test_refusals_do_not_take_the_room_of_work(store):
    """Guards against a burst of refusals that exhausts the record limit."""
    now = core.Instant(1.0, 0)
    for seed in range(5):
        work_id = submit(seed).work_id
        assert store.refuse(work_id, not_run(), shard=0, now=now)
    again = store.accept(submit(4), shard=0, sender=ENTRY).unwrap()
    assert again.record.answer.error == not_run()
    assert store.accept(submit(6), shard=0, sender=ENTRY).unwrap().is_new
    found = {id(r.answer_or_error) for r in store.finished}
    assert len(found) == 1, "equal refusals must share one error"


def test_refusal_beyond_the_bound_is_reported():
    """Guards against NOT_RUN for an id whose refusal is not recorded."""
    store = submission_store.SubmissionStore(max_refusals=1)
    now = core.Instant(1.0, 0)
    assert store.refuse(submit(1).work_id, not_run(), shard=0, now=now)
    assert not store.refuse(submit(2).work_id, not_run(), shard=0, now=now)
    Floors().expire(store, 601.0)
    assert store.refuse(submit(2).work_id, not_run(), shard=0, now=now)
