"""Tests of the measures computed from a trial."""

import math

import pytest

from _jasminewind.experiment import demand
from _jasminewind.experiment import load
from _jasminewind.experiment import measures
from _jasminewind.messages import tasks
from _jasminewind.messages import work
from _jasminewind.standins import server

RUN_S = 0.1


def record(number, at_s, response_s, *, status=200):
    """Return the record of one request that ran on minion-0."""
    submission = demand.Submission(
        at_s=at_s,
        number=number,
        id_bits=number,
        kind=work.WorkKind.REQUEST,
        team="crew-desk",
        service="hutch-orders",
        deadline_s=2.0,
        tasks=(
            demand.TaskDemand(
                name="t0",
                method="quote",
                run_s=RUN_S,
                declared_s=0.0,
                cores=1.0,
                memory_mb=128.0,
            ),
        ),
    )
    output = load.Output(
        name="t0",
        endpoint="minion-0",
        run_s=RUN_S,
        number=number,
        payload_endpoint="minion-0",
    )
    return load.Record(
        submission=submission,
        work_id=f"id-{number}",
        sent_s=at_s,
        ended_s=at_s + response_s,
        status=status,
        answers=1,
        outputs=(output,) if status == 200 else (),
    )


def steady(begin_s, end_s, response_s, **options):
    """Return records of a request every 50 ms."""
    count = round((end_s - begin_s) / 0.05)
    return [
        record(
            round(begin_s * 1000) + i,
            begin_s + i * 0.05,
            response_s,
            **options,
        )
        for i in range(count)
    ]


def recovery_s(records):
    return measures.recovery_s(records, warm_s=0.0, step_s=2.0, end_s=4.0)


def test_recovery_ends_with_usual_response_times():
    """A queue that outlasts the step must count as not recovered."""
    baseline = steady(0.0, 2.0, 0.11)
    high = steady(2.0, 5.0, 0.9)
    after = steady(5.0, 8.0, 0.11)
    assert recovery_s([*baseline, *high, *after]) == pytest.approx(1.0)
    assert recovery_s([*baseline, *high]) == math.inf


def test_refusing_everything_is_no_recovery():
    """Fast refusals must not count as normal response times."""
    baseline = steady(0.0, 2.0, 0.11)
    refused = steady(2.0, 8.0, 0.001, status=429)
    assert recovery_s([*baseline, *refused]) == math.inf


def test_late_answers_are_not_useful_work():
    """Work answered past its deadline must not count as goodput."""
    records = [record(1, 0.0, 1.0), record(2, 0.0, 2.5)]
    starts = [
        server.StartRecord(
            key=tasks.TaskKey(each.work_id, 0, 0),
            endpoint="minion-0",
            started_s=100.0,
            ended_s=101.0,
        )
        for each in records
    ]
    useful_s = measures.useful_slot_s(
        records,
        starts,
        {"minion-0": 1.5},
        begin_s=0.5,
        end_s=3.0,
        start_wall_s=100.0,
    )
    assert useful_s == pytest.approx(0.5 * 1.5)


def test_ratio_counts_the_wait_of_the_ideal():
    """Queueing that no scheduler can avoid must not raise the ratio."""
    records = [record(1, 0.0, 0.1), record(2, 0.0, 0.2)]
    assert measures.ratios(records, (1.0,)).mean == pytest.approx(1.0)


def test_messages_without_progress_are_counted():
    """A message type missing from the sum would hide overhead."""
    counts = {"Submit": 9, "TasksRefused": 2, "QueryTasks": 1, "Redirect": 1}
    assert measures.wasted_messages(counts, extra=3) == 7
