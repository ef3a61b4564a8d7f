"""Tests of the log lines about the exits of child processes."""

import json
import signal
import subprocess
import sys

import pytest

from _jasminewind.experiment import exits
from testing.fleet import system as systems
from testing.soak import fleet as fleets

LINE = "import sys; print('last line', flush=True); "
# What a child process runs, and its exit status as logged.
CHILDREN = (
    ("sys.exit(0)", "exit code 0"),
    ("sys.exit(3)", "exit code 3"),
    ("import os, signal; os.kill(os.getpid(), 9)", "signal SIGKILL"),
    ("import os; os.abort()", "signal SIGABRT"),
)


def last_line(path):
    """Return the last line of a log."""
    return json.loads(path.read_text().splitlines()[-1])


@pytest.mark.parametrize(("program", "status"), CHILDREN)
def test_the_exit_of_a_process_follows_its_output(tmp_path, program, status):
    """Guards against logs that do not show why a process is gone."""
    path = tmp_path / "agent-1.log"
    with path.open("ab") as output:
        child = subprocess.Popen(
            [sys.executable, "-c", LINE + program],
            stdout=output,
            stderr=subprocess.DEVNULL,
        )
    exits.log_exit(child, name="agent-1", path=path).join()
    first, second = path.read_text().splitlines()
    assert first == "last line"
    line = json.loads(second)
    assert (line["event"], line["process"]) == ("process exited", "agent-1")
    assert (line["status"], line["pid"]) == (status, child.pid)


def test_a_signal_without_a_name_is_described():
    """Guards against an exit that is not logged for its odd status."""
    assert exits.describe(-200) == "signal 200"


def test_the_fleet_logs_how_its_processes_end(tmp_path):
    """Guards against a process of the fleet that ends without a line."""
    system = systems.build(systems.SMALL, tmp_path)
    killed, terminated, other = system.agent_names()[:3]
    system.kill(killed)
    system.terminate(terminated)
    system.stop()
    found = {
        name: last_line(tmp_path / f"{name}.log")["status"]
        for name in (killed, terminated, other)
    }
    assert found == {
        killed: "signal SIGKILL",
        terminated: "exit code 0",
        other: "signal SIGKILL",
    }


def test_the_soak_logs_how_a_process_ends(tmp_path):
    """Guards against a process of the soak that ends without a line.

    One that no signal ended counts as a violation.
    """
    # Its settings are invalid, so that it ends by itself.
    process = fleets.Process(tmp_path, {"name": "entry-0"})
    process.start()
    process.child.wait(fleets.END_LIMIT_S)
    process.close()
    log = tmp_path / "entry-0.log"
    assert last_line(log)["status"] == "exit code 2"
    assert process.unexpected_exits == ["entry-0 ended by itself: exit code 2"]


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_the_soak_expects_the_ends_that_it_caused(
    tmp_path, monkeypatch, number
):
    """Guards against injected faults that are reported as violations."""
    program = tmp_path / "sleep.py"
    program.write_text("import time; time.sleep(60)")
    monkeypatch.setattr(fleets, "PROGRAM", program)
    process = fleets.Process(tmp_path, {"name": "entry-0"})
    process.start()
    process.send_signal(number)
    process.child.wait(fleets.END_LIMIT_S)
    process.close()
    assert not process.unexpected_exits
    expected = f"signal {number.name}"
    assert last_line(tmp_path / "entry-0.log")["status"] == expected
