"""Tests of odd rows in the response to a renewal."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import progress
from _jasminewind.messages import runs
from _jasminewind.platform import bodies
from _jasminewind.platform import run_rows
from testing.platform import odd_values

NESTED = odd_values.NESTED
RUNNING = '["a.0.0.0", 1, "c", 41]'
ENDED = '[7, "a.0.0.1", 2, "done", "c"]'
RUN = actions.RunningRun(
    key=runs.RunKey("a.0.0.0", 1), checkpoint="c", percent=41
)
END = actions.ListedEnd(
    number=7,
    key=runs.RunKey("a.0.0.1", 2),
    outcome=runs.RunOutcome.DONE,
    checkpoint="c",
)
ODD_ROWS = [
    "null",
    "{}",
    '"x"',
    "[]",
    "[null]",
    '["x"]',
    NESTED,
    "[1, 2, 3, 4, 5]",
    '["x", "1", "", 0]',
    '["x", 1e400, "", 0]',
    f'["x", {10**30}, "", 0]',
    f'["x", {10**400}, "", 0]',
    '["x", -1, "", 0]',
    '["x", true, "", 0]',
    '["\\ud800", 1, "", 0]',
    '["x", NaN]',
    '["]", 1 "["]',
    "[1,]",
    '["\udcff", 1, "", 0]',
    f'["{"x" * 201}", 1, "", 0]',
]
ODD_NUMBERS = ["null", '"8"', "-1", str(10**30), str(10**400), "8.5", NESTED]


def read(*, running=(), ended=()):
    """Return the response with these rows."""
    text = (
        f'{{"clock-ms": 9, "running": [{", ".join(running)}], '
        f'"ended": [{", ".join(ended)}], "born": 5}}'
    )
    return run_rows.read(text.encode(errors="surrogateescape"), 1.0)


def test_a_response_without_odd_rows_is_complete():
    """Guards against rows that are lost, or reported without a cause."""
    state = read(running=[RUNNING], ended=[ENDED])
    assert state == run_rows.ReadState(
        actions.RenewReply(
            outcome=actions.CallOutcome.DONE,
            sent_s=1.0,
            clock_ms=9,
            running=(RUN,),
            ended=(END,),
            born_ms=5,
        )
    )


@pytest.mark.parametrize("row", ODD_ROWS, ids=lambda row: row[:20])
def test_a_running_run_that_cannot_be_read_hides_none(row):
    """Guards against a living endpoint that is given up for one bad row.

    The run of the row is not known, so none counts as absent.
    """
    state = read(running=[row, RUNNING, row], ended=[ENDED])
    assert state.reply.outcome is actions.CallOutcome.DONE
    assert state.reply.running == (RUN,)
    assert state.reply.ended == (END,)
    assert not state.reply.complete
    assert {odd.source for odd in state.odd} == {"running"}


@pytest.mark.parametrize("row", ODD_ROWS, ids=lambda row: row[:20])
def test_an_end_that_cannot_be_read_is_not_acknowledged(row):
    """Guards against an end that the endpoint forgets before it is read.

    Only a later end that was read acknowledges it, with the list of running
    work in the same response, in which its run is missing.
    """
    before = read(running=[RUNNING], ended=[row, ENDED])
    after = read(running=[RUNNING], ended=[ENDED, row])
    for state in (before, after):
        assert state.reply.running == (RUN,)
        assert state.reply.ended == (END,)
        assert state.reply.complete
        assert [odd.source for odd in state.odd] == ["ended"]
    assert after.holds_end
    assert not before.holds_end


@pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda text: text[:20])
def test_the_number_of_an_end_is_not_guessed(number):
    """Guards against an acknowledgement of ends that are still to come."""
    state = read(ended=[ENDED, f'[{number}, "b.0.0.0", 1, "done", ""]'])
    assert state.reply.ended == (END,)
    assert state.holds_end


@pytest.mark.parametrize("number", [7, 8, 999_999_999])
def test_a_number_out_of_order_acknowledges_nothing(number):
    """Guards against ends that are skipped for a number that is too high."""
    state = read(ended=[f'[{number}, "b.0.0.0", 1, "done", ""]', ENDED])
    assert state.reply.ended == (END,)
    assert len(state.odd) == 1


@pytest.mark.parametrize(
    "rest", ["", ", 5, 41", ", null, 41", f', {json.dumps("x" * 1_001)}, 41']
)
def test_a_run_with_an_odd_checkpoint_is_running(rest):
    """Guards against a run that counts as absent or unknown."""
    state = read(running=[f'["a.0.0.0", 1{rest}]'])
    (run,) = state.reply.running
    assert (run.key, run.checkpoint) == (RUN.key, "")
    assert state.reply.complete
    assert state.odd


@pytest.mark.parametrize(
    "percent", ["null", '"x"', "-1", "101", str(10**400), "1e400", "[[[]]]"]
)
def test_a_run_with_an_odd_progress_does_not_stall(percent):
    """Guards against a run that is stopped because its progress is odd."""
    state = read(running=[f'["a.0.0.0", 1, "c", {percent}]'])
    (run,) = state.reply.running
    assert run.percent == progress.ALMOST_DONE_PERCENT
    assert state.reply.complete
    assert [odd.name for odd in state.odd] == ["a.0.0.0#1"]


@pytest.mark.parametrize(
    "rest", ["", ', "odd"', ", 3", ", null, 5", ', "done", {}']
)
def test_a_run_has_ended_however_it_did(rest):
    """Guards against an end that is lost for an unknown word in it."""
    state = read(ended=[f'[7, "a.0.0.1", 2{rest}]'])
    (end,) = state.reply.ended
    assert (end.number, end.key, end.checkpoint) == (7, END.key, "")
    expected = runs.RunOutcome.LAPSED
    if "done" in rest:
        expected = runs.RunOutcome.DONE
    assert end.outcome is expected
    assert state.odd


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"clock-ms": "x"}',
        b'{"clock-ms": 1, "running": 2}',
    ],
)
def test_a_response_without_lists_is_lost(body):
    """Guards against runs that count as absent without a list of them."""
    state = run_rows.read(body, 1.0)
    assert state.reply.outcome is actions.CallOutcome.LOST


def read_by_row(running, ended):
    """Return the response with these rows, each of which is read alone."""
    text = (
        f'{{"clock-ms": 9, "running": [{", ".join(running)}], '
        f'"ended": [{", ".join(ended)}], "born": 5}}'
    )
    return run_rows.read_rows(text.encode(), 1.0)


NAMES = strategies.sampled_from(["a.0.0.0", "b", "x" * 200])
NUMBERS = strategies.integers(0, 9)
CHECKPOINTS = strategies.sampled_from(["", "c", "c" * 1_000])


@hypothesis.given(
    running=strategies.lists(
        strategies.tuples(
            NAMES, NUMBERS, CHECKPOINTS, strategies.floats(0, 100)
        ),
        max_size=3,
    ),
    ended=strategies.lists(
        strategies.tuples(
            NUMBERS,
            NAMES,
            NUMBERS,
            strategies.sampled_from(list(bodies.RUN_OUTCOMES)),
            CHECKPOINTS,
        ),
        max_size=3,
    ),
)
def test_both_ways_to_read_rows_agree(running, ended):
    """Guards against a response that is read otherwise beside an odd row."""
    running, ended = (
        [json.dumps(row) for row in rows] for rows in (running, ended)
    )
    assert read(running=running, ended=ended) == read_by_row(running, ended)


FIELD = odd_values.JSON | strategies.sampled_from(
    ["a.0.0.0", "done", 1, 41, 10**30, 10**400]
)
ROW = strategies.lists(FIELD, max_size=6) | odd_values.JSON


@hypothesis.given(
    running=strategies.lists(ROW, max_size=4),
    ended=strategies.lists(ROW, max_size=4),
    cut=strategies.integers(0, 400),
)
def test_rows_fuzz(running, ended, cut):
    """Guards against an exception, and against rows that affect others."""
    state = read(
        running=[*map(json.dumps, running), RUNNING],
        ended=[*map(json.dumps, ended), ENDED],
    )
    assert RUN in state.reply.running
    assert state.reply.ended[-1] == END
    numbers = [end.number for end in state.reply.ended]
    assert numbers == sorted(set(numbers))
    assert len(state.reply.running) == len(running) + 1 or (
        not state.reply.complete
    )
    body = json.dumps({"clock-ms": 1, "running": running, "ended": ended})
    run_rows.read(body.encode()[:cut], 1.0)
    assert len(running) < bodies.MAX_LISTED_ENDS
