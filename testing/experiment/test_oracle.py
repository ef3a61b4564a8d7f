"""Tests of the invariant checks on answers and starts."""

import dataclasses

import pytest

from _jasminewind import errors
from _jasminewind.experiment import demand
from _jasminewind.experiment import load
from _jasminewind.experiment import oracle
from _jasminewind.messages import tasks
from _jasminewind.messages import work
from _jasminewind.standins import server

WORK_ID = "id-1"
REPEATABLE = frozenset(("stock-check",))


def task(name, method):
    return demand.TaskDemand(
        name=name,
        method=method,
        run_s=0.1,
        declared_s=0.0,
        cores=1.0,
        memory_mb=128.0,
    )


@pytest.fixture
def record():
    """Return a job of two tasks with a correct answer."""
    submission = demand.Submission(
        at_s=0.0,
        number=4,
        id_bits=1,
        kind=work.WorkKind.JOB,
        team="crew-desk",
        service="hutch-orders",
        deadline_s=5.0,
        tasks=(task("t0", "quote"), task("t1", "stock-check")),
    )
    outputs = tuple(
        load.Output(
            name=name,
            endpoint=endpoint,
            run_s=0.1,
            number=4,
            payload_endpoint=endpoint,
        )
        for name, endpoint in (("t0", "worker-0"), ("t1", "worker-1"))
    )
    return load.Record(
        submission=submission,
        work_id=WORK_ID,
        sent_s=0.0,
        ended_s=0.2,
        status=200,
        answers=1,
        answer_id=WORK_ID,
        outputs=outputs,
    )


def start(index, endpoint, attempt=0):
    return server.StartRecord(
        key=tasks.TaskKey(WORK_ID, index, attempt),
        endpoint=endpoint,
        started_s=1.0,
        ended_s=1.1,
    )


STARTS = [start(0, "worker-0"), start(1, "worker-1")]


def rules(record, starts):
    verdict = oracle.check([record], starts, repeatable=REPEATABLE)
    return [each.rule for each in verdict.violations]


def test_correct_answer_passes(record):
    """A correct run must not be reported as a violation."""
    verdict = oracle.check([record], STARTS, repeatable=REPEATABLE)
    assert verdict == oracle.Verdict(
        violations=(), unanswered=0, extra_starts=0
    )


def test_second_start_is_found(record):
    """A non-repeatable task was started twice (invariant 1)."""
    starts = [*STARTS, start(0, "worker-2", attempt=1)]
    assert rules(record, starts) == ["started twice"]


def test_retry_of_repeatable_task_is_allowed(record):
    """Retries of repeatable tasks must not count as violations."""
    starts = [*STARTS, start(1, "worker-2", attempt=1)]
    verdict = oracle.check([record], starts, repeatable=REPEATABLE)
    assert not verdict.violations
    assert verdict.extra_starts == 1


def test_repeated_attempt_is_found(record):
    """One attempt started twice, which repeatable tasks forbid too."""
    starts = [*STARTS, start(1, "worker-1")]
    assert rules(record, starts) == ["started twice"]


def test_partial_answer_is_found(record):
    """A complete answer lacks the output of a task (invariant 2)."""
    record.outputs = record.outputs[:1]
    assert rules(record, STARTS) == ["partial answer"]


def test_answer_of_another_submission_is_found(record):
    """A caller received the result of another caller (invariant 3)."""
    wrong = dataclasses.replace(record.outputs[1], number=9)
    record.outputs = (record.outputs[0], wrong)
    assert rules(record, STARTS) == ["answer of another submission"]


def test_answer_with_another_id_is_found(record):
    """An answer carries the id of other work (invariant 3)."""
    record.answer_id = "id-2"
    assert rules(record, STARTS) == ["answer of another id"]


def test_result_without_start_is_found(record):
    """A result came from an endpoint that did not start the task."""
    assert rules(record, STARTS[:1]) == ["answer without a start"]


def test_refusal_of_started_work_is_found(record):
    """A refusal says "not run" although a task was started (invariant 4)."""
    record.status = 429
    record.outcome = errors.Outcome.NOT_RUN
    assert rules(record, STARTS[:1]) == ["not run, but started"]
    assert rules(record, []) == []


def test_second_answer_is_found(record):
    """A submission received two final answers."""
    record.answers = 2
    assert rules(record, STARTS) == ["answered twice"]


@pytest.mark.parametrize("answers", [0, 1])
def test_missing_answer_is_counted(record, answers):
    """No answer came, or only one after the timeout of the caller."""
    record.status = 0
    record.answers = answers
    verdict = oracle.check([record], STARTS, repeatable=REPEATABLE)
    assert verdict.unanswered == 1
