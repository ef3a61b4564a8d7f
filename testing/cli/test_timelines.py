"""Tests of the timeline of a job from several log files."""

import json

import pytest

from _jasminewind.cli import main
from _jasminewind.cli import timelines

JOB = "5c0e7a21d94b36f8"


def line(second, node, kind, **fields):
    """Return a line of the decision log."""
    record = {
        "timestamp": f"2026-12-04T12:00:{second:06.3f}Z",
        "node": node,
        "event": "decision",
        "kind": kind,
        **fields,
    }
    return json.dumps(record)


@pytest.fixture
def files(tmp_path):
    """Return the logs of an entry and of two agents."""
    entry = tmp_path / "entry.log"
    entry.write_text(
        "\n".join(
            [
                line(1, "entry-1", "accept", work_id=JOB, reason="2 tasks"),
                line(1.1, "entry-1", "place", work_id=JOB, choice="agent-1"),
                line(5, "entry-1", "agent_lost", choice="agent-1#7"),
                line(6, "entry-1", "answer", work_id=JOB, reason="completed"),
                line(6, "entry-1", "accept", work_id="other"),
                "not json {",
                '{"event": "started"}',
            ]
        )
    )
    agent = tmp_path / "agent.log"
    agent.write_text(
        "\n".join(
            [
                line(2, "agent-1", "lease_lapsed", reason="no answer"),
                line(2, "agent-2", "lease_lapsed", reason="no answer"),
                line(30, "agent-1", "reachable", reason="True"),
            ]
        )
    )
    return [str(entry), str(agent)]


def test_timeline_merges_the_job_with_events_of_its_agents(files):
    """Guards against missing a cause that only another process logged."""
    lines = timelines.job_timeline(
        timelines.read_decisions(files).unwrap(), JOB
    )
    assert [decision.kind for decision in lines] == [
        "accept",
        "place",
        "lease_lapsed",
        "agent_lost",
        "answer",
    ]


def test_story_command_prints_the_timeline(files, capsys):
    """Guards against a `story` command that does not print the timeline."""
    main.main(["story", JOB, *files])
    printed = capsys.readouterr().out.splitlines()
    assert len(printed) == 5
    assert "lease_lapsed" in printed[2]


def test_an_unknown_job_is_bad_input(files):
    """Guards against exit code 0 and no output for an unknown job."""
    with pytest.raises(SystemExit) as raised:
        main.main(["story", "0" * 16, *files])
    assert raised.value.code == 2
