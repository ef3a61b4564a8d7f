"""Tests of the ledger."""

import pytest

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions import ledger
from _jasminewind.messages import ownership as messages
from _jasminewind.messages import work
from testing.decisions import fakes

ENTRY = members.NodeId("entry-1", 1)
OTHER = members.NodeId("entry-2", 1)


def submit(seed=0, time_ms=fakes.START_MS):
    """Return a submission."""
    return work.Submit(
        work_id=fakes.work_id(time_ms, seed=seed),
        kind=work.WorkKind.JOB,
        team="orders",
        tasks=(),
        budget_s=1.0,
        config_version=1,
    )


def complete(work_id):
    """Return the complete answer to an id."""
    return work.Answer(work_id=work_id, state=work.WorkState.COMPLETE)


@pytest.fixture
def book():
    """Return a ledger that holds two records."""
    return ledger.Ledger(max_records=2)


def test_resubmission_joins_and_both_get_the_one_answer(book):
    """Guards against a second start, and a caller without an answer."""
    first = book.accept(submit(), shard=0, sender=ENTRY).unwrap()
    second = book.accept(submit(), shard=0, sender=OTHER).unwrap()
    assert (first.is_new, second.is_new) == (True, False)
    answer = complete(submit().work_id)
    now = core.Instant(1.0, fakes.START_MS)
    assert book.finish(answer, now) == (ENTRY, OTHER)
    assert book.finish(answer, now) == ()


def test_forgotten_id_is_not_taken_for_a_new_one(book):
    """Guards against a second run after the record was dropped."""
    book.accept(submit(), shard=0, sender=ENTRY).unwrap()
    book.finish(complete(submit().work_id), core.Instant(1.0, 0))
    assert book.expire(core.Instant(600.9, 0)) == ()
    assert book.expire(core.Instant(601.0, 0)) == (0,)
    error = book.accept(submit(), shard=0, sender=ENTRY).unwrap_err()
    assert error.refusal is ledger.Refusal.FORGOTTEN


def test_full_ledger_refuses_and_forgets_nothing(book):
    """Guards against dropping a record to make room for another."""
    for seed in (1, 2):
        book.accept(submit(seed), shard=0, sender=ENTRY).unwrap()
    error = book.accept(submit(3), shard=0, sender=ENTRY).unwrap_err()
    assert error.refusal is ledger.Refusal.FULL
    assert not book.accept(submit(1), shard=0, sender=ENTRY).unwrap().is_new


def test_handed_over_records_answer_resubmissions(book):
    """Guards against lost answers after a graceful leave."""
    answer = complete(submit().work_id)
    message = messages.HandOver(
        shard=0, epoch=3, answers=(answer,), sequence=7
    )
    ack = book.receive(message, core.Instant(1.0, 0))
    assert (ack.epoch, ack.sequence) == (3, 7)
    assert book.find(answer.work_id).answer == answer
