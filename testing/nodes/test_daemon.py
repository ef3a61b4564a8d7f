"""Tests of the daemon: bad settings, and the signals that end it."""

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
    """A reactor without sockets that notes when it is stopped."""

    def __init__(self):
        super().__init__()
        self.running = True

    def stop(self):
        """Note the end."""
        self.running = False


@pytest.fixture
def reactor():
    """Return a running reactor without sockets."""
    return Reactor()


@pytest.fixture
def process(reactor):
    """Return an agent whose work never ends."""
    chosen = settings.parse(json.dumps(AGENT).encode()).unwrap()
    found = daemon.Process(reactor=reactor, chosen=chosen)
    found.node.coordinator.has_work = lambda: True
    return found


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
    """Guards against a process that runs with settings it misread."""
    path = tmp_path / "settings.json"
    path.write_text(text)
    ran = subprocess.run(
        [sys.executable, "-m", "_jasminewind.nodes.daemon", str(path)],
        env={"PYTHONPATH": ":".join(p for p in sys.path if p)},
        capture_output=True,
        text=True,
    )
    assert ran.returncode == daemon.EXIT_BAD_SETTINGS
    assert reason in ran.stderr
    assert "Traceback" not in ran.stderr
    assert ran.stdout == ""


def test_first_signal_waits_for_running_work(reactor, process):
    """Guards against a graceful shutdown that interrupts requests."""
    process.on_signal()
    reactor.run(9.0)
    assert process.node.is_leaving
    assert reactor.running


def test_shutdown_ends_at_its_limit(reactor, process):
    """Guards against a process that never exits."""
    process.on_signal()
    reactor.run(11.0)
    assert not reactor.running


def test_second_signal_ends_the_process_at_once(reactor, process):
    """Guards against an operator who has to kill the process."""
    process.on_signal()
    process.on_signal()
    assert not reactor.running
    # Timers that were started by the first signal do no harm.
    reactor.run(11.0)


def test_shutdown_without_work_ends_early(reactor, process):
    """Guards against a rolling restart that always takes the limit."""
    process.node.coordinator.has_work = lambda: False
    process.on_signal()
    reactor.run(2.0)
    assert not reactor.running
