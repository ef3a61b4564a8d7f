"""Tests of the daemon: invalid settings and shutdown signals."""

import json
import subprocess
import sys

import pytest

from _jasminewind import settings
from _jasminewind.nodes import daemon
from testing.nodes import conftest

AGENT = {
    "role": "agent",
    "name": "agent-1",
    "region": "r",
    "failure_domain": "a",
    "rack": "r1",
    "host": "127.0.0.1",
    "port": 7401,
    "local_port": 7481,
    "table": {"host": "127.0.0.1", "port": 7300},
    "seeds": [{"host": "127.0.0.1", "port": 7400}],
    "shutdown_limit_s": 10.0,
}


class Reactor(conftest.Clock):
    """A reactor without sockets that records being stopped."""

    def __init__(self):
        super().__init__()
        self.running = True

    def stop(self):
        """Record the stop."""
        self.running = False


@pytest.fixture
def reactor():
    """Return a running reactor without sockets."""
    return Reactor()


@pytest.fixture
def process(reactor):
    """Return an agent process whose work never finishes."""
    parsed = settings.parse(json.dumps(AGENT).encode()).unwrap()
    process = daemon.Process(reactor=reactor, settings=parsed)
    process.node.coordinator.has_work = lambda: True
    return process


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("{", "JSON"),
        (json.dumps({**AGENT, "port": 0}), "port"),
        (json.dumps({**AGENT, "colour": "red"}), "colour"),
    ],
)
def test_bad_settings_end_the_process_with_their_reason(
    tmp_path, text, reason
):
    """Guards against starting with misread settings."""
    path = tmp_path / "settings.json"
    path.write_text(text)
    completed = subprocess.run(
        [sys.executable, "-m", "_jasminewind.nodes.daemon", str(path)],
        env={"PYTHONPATH": ":".join(p for p in sys.path if p)},
        capture_output=True,
        text=True,
    )
    assert completed.returncode == daemon.EXIT_BAD_SETTINGS
    assert reason in completed.stderr
    assert "Traceback" not in completed.stderr
    assert completed.stdout == ""


def test_first_signal_waits_for_running_work(reactor, process):
    """Guards against a graceful shutdown that interrupts running work."""
    process.on_signal()
    reactor.run(9.0)
    assert process.node.is_leaving
    assert reactor.running


def test_shutdown_ends_at_its_limit(reactor, process):
    """Guards against a process that never exits while work is running."""
    process.on_signal()
    reactor.run(11.0)
    assert not reactor.running


def test_second_signal_ends_the_process_at_once(reactor, process):
    """Guards against a second SIGTERM without effect."""
    process.on_signal()
    process.on_signal()
    assert not reactor.running
    # Timers started by the first signal must not fail now.
    reactor.run(11.0)


def test_shutdown_without_work_ends_early(reactor, process):
    """Guards against rolling restarts that always wait for the limit."""
    process.node.coordinator.has_work = lambda: False
    process.on_signal()
    reactor.run(2.0)
    assert not reactor.running
