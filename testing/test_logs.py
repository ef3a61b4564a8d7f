"""Tests of the log output and the decision log."""

import io
import json
import os
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
    """Return a text stream that receives the log lines."""
    stream = io.StringIO()
    logs.configure(node="agent-1", stream=stream)
    yield stream
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
    """Guards against decisions that log tools cannot parse."""
    log, _ = make_log(1.0)
    log.write(
        core.LogDecision(
            kind="route", work_id="w", candidates=("a", "b"), choice="b"
        )
    )
    (line,) = lines(stream)
    assert (line["kind"], line["choice"]) == ("route", "b")
    assert line["candidates"] == ["a", "b"]
    assert (line["node"], line["level"]) == ("agent-1", "info")


def test_sampling_keeps_the_share_and_reports_the_rest(stream):
    """Guards against sampling that drops lines without reporting it."""
    log, clock = make_log(0.25)
    rng = random.Random(3)
    work_ids = [ids.new(wall_ms=i, rng=rng) for i in range(400)]
    for work_id in work_ids:
        for kind in ("admit", "route"):
            log.write(core.LogDecision(kind=kind, work_id=work_id))
    written = lines(stream)
    assert 120 < len(written) < 280
    by_id = [line["work_id"] for line in written]
    assert all(by_id.count(work_id) == 2 for work_id in by_id)
    clock.advance(logs.REPORT_PERIOD_S)
    assert lines(stream)[-1]["count"] == 800 - len(written)
    clock.advance(logs.REPORT_PERIOD_S)
    assert len(lines(stream)) == len(written) + 1


def test_dropped_decisions_can_be_explained(stream):
    """Guards against Explain depending on sampling or growing unbounded."""
    log, _ = make_log(0.0)
    for i in range(logs.MAX_KEPT_DECISIONS + 10):
        log.write(core.LogDecision(kind="route", work_id=f"w{i}"))
    assert lines(stream) == []
    assert log.explain("w9") == ()
    (text,) = log.explain("w10")
    assert json.loads(text) == {
        "wall_ms": 5,
        "kind": "route",
        "work_id": "w10",
    }


def test_decisions_without_work_are_always_written(stream):
    """Guards against sampling that drops takeovers."""
    log, _ = make_log(0.0)
    log.write(core.LogDecision(kind="takeover", choice="shard 3"))
    assert lines(stream)[0]["kind"] == "takeover"


def test_level_filters_lines(stream):
    """Guards against a log level without effect."""
    logs.configure(level=settings.LogLevel.WARNING, stream=stream)
    log, _ = make_log(1.0)
    log.write(core.LogDecision(kind="route", work_id="w"))
    assert lines(stream) == []


@pytest.fixture
def pipe():
    """Return both ends of a pipe."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_lines_beyond_the_rate_are_dropped_and_counted(pipe):
    """Guards against logging that saturates the processor under load."""
    reader, writer = pipe
    now_s = [0.0]
    stream = logs.RateLimitedStream(
        descriptor=writer, lines_per_s=10, seconds=lambda: now_s[0]
    )
    for number in range(25):
        stream.write(f"line {number}\n")
    now_s[0] = 1.0
    stream.write("later\n")
    written = os.read(reader, 10_000).decode().splitlines()
    assert written[:10] == [f"line {number}" for number in range(10)]
    assert json.loads(written[10]) == {"event": "lines dropped", "n": 15}
    assert written[11:] == ["later"]


def test_the_last_line_of_a_process_passes_beyond_the_rate(pipe):
    """Guards against an error that is dropped after many lines."""
    reader, writer = pipe
    stream = logs.RateLimitedStream(
        descriptor=writer, lines_per_s=2, seconds=lambda: 0.0
    )
    for number in range(5):
        stream.write(f"line {number}\n")
    stream.allow_line()
    stream.write("last\n")
    written = os.read(reader, 10_000).decode().splitlines()
    assert written[-1] == "last"


def test_a_blocked_reader_does_not_block_the_writer(pipe):
    """Guards against a process that blocks on a full log pipe."""
    reader, writer = pipe
    stream = logs.RateLimitedStream(
        descriptor=writer, lines_per_s=100_000, seconds=lambda: 0.0
    )
    for _ in range(5_000):
        stream.write("x" * 99 + "\n")
    assert stream.dropped > 0
    text = os.read(reader, 1 << 20).decode()
    assert set(text.splitlines()[:-1]) == {"x" * 99}


def test_decisions_beyond_the_rate_are_dropped_before_formatting():
    """Guards against an overloaded process that formats lines it drops."""
    reading, writing = os.pipe()
    stream = logs.RateLimitedStream(
        descriptor=writing, lines_per_s=2, seconds=lambda: 0.0
    )
    written = []

    class Logger:
        """Counts the lines that are formatted."""

        def info(self, event, **fields):
            """Write one line."""
            written.append(fields)
            stream.write("line")

    log = logs.DecisionLog(
        timer_service=timers.TimerService(
            clock=task.Clock(), wall_ms=lambda: 0
        ),
        logger=Logger(),
        stream=stream,
    )
    for number in range(5):
        log.write(core.LogDecision(kind="place", work_id=str(number)))
    assert len(written) == 2
    assert stream.dropped == 3
    assert len(log.recent) == 5
    os.close(reading)
    os.close(writing)


def test_routine_lines_leave_room_for_what_goes_wrong(pipe):
    """Guards against a busy entry that drops the lines about a lost run."""
    reader, writer = pipe
    stream = logs.RateLimitedStream(
        descriptor=writer, lines_per_s=10, seconds=lambda: 0.0
    )
    logs.configure(stream=stream)
    log = logs.DecisionLog(
        timer_service=timers.TimerService(
            clock=task.Clock(), wall_ms=lambda: 0
        ),
        stream=stream,
    )
    for number in range(50):
        log.write(core.LogDecision(kind="place", work_id=str(number)))
    log.write(core.LogDecision(kind="run_ended", work_id="w"))
    logs.configure()
    written = os.read(reader, 100_000).decode().splitlines()
    kinds = [json.loads(line).get("kind") for line in written]
    assert kinds.count("place") == 8
    assert kinds[-1] == "run_ended"
