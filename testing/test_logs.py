"""Tests of the logs."""

import io
import json
import random

import pytest
from twisted.internet import task

from _jasminewind import ids
from _jasminewind import logs
from _jasminewind import settings
from _jasminewind import timers
from _jasminewind.decisions import core


@pytest.fixture
def stream():
    """Return the text stream that the logs are written to."""
    found = io.StringIO()
    logs.configure(node="agent-1", stream=found)
    yield found
    logs.configure()


def lines(stream):
    """Return the log lines as objects."""
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def make_log(share):
    """Return a decision log and its clock."""
    clock = task.Clock()
    service = timers.TimerService(clock=clock, wall_ms=lambda: 5)
    return logs.DecisionLog(timer_service=service, share=share), clock


def test_decision_is_one_json_line(stream):
    """Guards against decisions that operators cannot search."""
    log, _ = make_log(1.0)
    log.decision(
        core.LogDecision(
            kind="route", work_id="w", candidates=("a", "b"), choice="b"
        )
    )
    (line,) = lines(stream)
    assert (line["kind"], line["choice"]) == ("route", "b")
    assert line["candidates"] == ["a", "b"]
    assert (line["node"], line["level"]) == ("agent-1", "info")


def test_sampling_keeps_the_share_and_reports_the_rest(stream):
    """Guards against a log that hides that lines are missing."""
    log, clock = make_log(0.25)
    rng = random.Random(3)
    work_ids = [ids.new(wall_ms=i, rng=rng) for i in range(400)]
    for work_id in work_ids:
        for kind in ("admit", "route"):
            log.decision(core.LogDecision(kind=kind, work_id=work_id))
    written = lines(stream)
    assert 120 < len(written) < 280
    by_id = [line["work_id"] for line in written]
    assert all(by_id.count(work_id) == 2 for work_id in by_id)
    clock.advance(logs.REPORT_PERIOD_S)
    assert lines(stream)[-1]["count"] == 800 - len(written)
    clock.advance(logs.REPORT_PERIOD_S)
    assert len(lines(stream)) == len(written) + 1


def test_dropped_decisions_can_be_explained(stream):
    """Guards against an Explain that depends on sampling, or grows."""
    log, _ = make_log(0.0)
    for i in range(logs.DECISIONS_KEPT + 10):
        log.decision(core.LogDecision(kind="route", work_id=f"w{i}"))
    assert lines(stream) == []
    assert log.explain("w9") == ()
    (text,) = log.explain("w10")
    assert json.loads(text) == {
        "wall_ms": 5,
        "kind": "route",
        "work_id": "w10",
    }


def test_decisions_without_work_are_always_written(stream):
    """Guards against takeovers that sampling hides."""
    log, _ = make_log(0.0)
    log.decision(core.LogDecision(kind="takeover", choice="shard 3"))
    assert lines(stream)[0]["kind"] == "takeover"


def test_level_filters_lines(stream):
    """Guards against a log level without effect."""
    logs.configure(level=settings.LogLevel.WARNING, stream=stream)
    log, _ = make_log(1.0)
    log.decision(core.LogDecision(kind="route", work_id="w"))
    assert lines(stream) == []
