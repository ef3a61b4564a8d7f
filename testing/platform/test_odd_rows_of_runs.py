"""What an agent makes of odd rows about the runs that it has started."""

import json

import pytest

from _jasminewind.decisions.jobs import actions
from _jasminewind.messages import runs
from _jasminewind.platform import run_rows
from testing.decisions.jobs import test_paused_agent as agents

FIRST = agents.FIRST
OTHER = runs.RunKey("0000000000000003.0.0.0", 1)
RUNNING_ROW = [FIRST.task, FIRST.number, "", 5]
OTHER_ROW = [OTHER.task, OTHER.number, "", 5]
HIDDEN = [
    [5, 1, "", 5],
    [FIRST.task, "1", "", 5],
    [FIRST.task],
    [],
    None,
    "x",
]


class Agent(agents.Agent):
    """An executor that reads the responses of its endpoint as text."""

    def start(self, *keys):
        """Let runs start in place of the queued one; return the agent."""
        stop = runs.StopRuns(keys=(agents.QUEUED,))
        self.executor.on_message(agents.ENTRY, stop, self.now())
        self.order(3, *(agents.order(key, 0.1) for key in keys))
        for key in (FIRST, *keys):
            self.executor.on_start_reply(key, agents.DONE, self.now())
        return self

    def read(self, *, running=(), ended=(), after_s=0.2):
        """Answer the renewal with these rows; return the ends reported."""
        self.now_s += after_s
        body = {
            "clock-ms": int(self.now_s * 1000),
            "running": list(running),
            "ended": list(ended),
            "born": agents.RECORD.born_ms,
        }
        state = run_rows.read(json.dumps(body).encode(), self.now_s - 0.01)
        found = self.executor.on_renew_reply(
            self.pending, state.reply, self.now()
        )
        self.pending = agents.calls(found, actions.CallRenew)[0]
        return {
            end.key: end.outcome
            for action in found
            if isinstance(getattr(action, "message", None), runs.RunsEnded)
            for end in action.message.ends
        }

    def keep_owner(self):
        """Extend the grant of the owner."""
        self.executor.on_tick(self.now())
        sequence = self.executor.grants.sequence
        self.executor.on_message(
            agents.ENTRY, runs.BeatEcho(sequence=sequence), self.now()
        )


@pytest.mark.parametrize("row", HIDDEN, ids=str)
def test_a_run_whose_row_is_unreadable_goes_on(row):
    """Guards against a run that is placed again while it is running."""
    agent = Agent().start()
    for _ in range(5):
        assert agent.read(running=[row]) == {}
        agent.keep_owner()
        assert agent.pending.deadline_ms > 0
    assert FIRST in agent.executor.allocation.runs
    ended = [[1, FIRST.task, FIRST.number, "done", ""]]
    assert agent.read(ended=ended) == {FIRST: runs.RunOutcome.DONE}


@pytest.mark.parametrize("row", HIDDEN, ids=str)
def test_an_unanswered_start_is_not_denied_beside_an_odd_row(row):
    """Guards against "not started" for a run that the odd row may name."""
    agent = Agent()
    lost = actions.CallReply(outcome=actions.CallOutcome.LOST)
    agent.executor.on_start_reply(FIRST, lost, agent.now())
    agent.now_s += 0.01
    agent.executor.on_stop_reply(FIRST, agents.DONE, agent.now())
    assert FIRST not in agent.read(running=[row], after_s=0.1)
    assert FIRST in agent.executor.allocation.runs
    ends = agent.read(after_s=0.1)
    assert ends[FIRST] is runs.RunOutcome.NOT_STARTED


@pytest.mark.parametrize(
    "row",
    [
        [None, FIRST.task, 1, "done", ""],
        [1, 5, 1, "done", ""],
        [1, FIRST.task, "1", "done", ""],
        [10**30, FIRST.task, 1, "done", ""],
        [7, FIRST.task, 1, "done", ""],
        [],
        None,
    ],
    ids=str,
)
def test_the_run_of_an_unreadable_end_ends_with_its_acknowledgement(row):
    """Guards against an end that is acknowledged, and a run without one."""
    agent = Agent().start(OTHER)
    other = [2, OTHER.task, OTHER.number, "done", ""]
    ends = agent.read(ended=[row, other])
    assert ends == {
        FIRST: runs.RunOutcome.LAPSED,
        OTHER: runs.RunOutcome.DONE,
    }
    assert agent.pending.last_end == 2


def test_an_unreadable_end_is_not_acknowledged_alone():
    """Guards against an end that is forgotten without a later one."""
    agent = Agent().start(OTHER)
    row = [1, 5, 1, "done", ""]
    ends = agent.read(running=[OTHER_ROW], ended=[row])
    assert ends == {FIRST: runs.RunOutcome.LAPSED}
    assert agent.pending.last_end == 0


def test_an_unreadable_end_beside_an_unreadable_run_is_found_later():
    """Guards against a run without an end when both lists have odd rows."""
    agent = Agent().start(OTHER)
    other = [2, OTHER.task, OTHER.number, "done", ""]
    ends = agent.read(running=[None], ended=[None, other])
    assert ends == {OTHER: runs.RunOutcome.DONE}
    assert agent.read() == {FIRST: runs.RunOutcome.LAPSED}


def test_a_run_with_an_odd_progress_is_not_stopped():
    """Guards against a run that counts as stalled for an odd row."""
    agent = Agent().start()
    for _ in range(10):
        row = [*RUNNING_ROW[:3], "most"]
        assert agent.read(running=[row]) == {}
        agent.keep_owner()
    assert not agent.executor.allocation.runs[FIRST].is_stopping
