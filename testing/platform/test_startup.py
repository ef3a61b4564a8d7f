"""What the processes on the users' platform load before they serve."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "src" / "jasminewindd.py"
# Runs a process whose call of ``{}`` fails.
FAILING = """
from unittest import mock
from twisted.internet import reactor
from _jasminewind.nodes import job_agent
from _jasminewind.platform import daemon
with mock.patch.object({}, side_effect=MemoryError("no room")):
    daemon.main()
"""
SETTINGS = {
    "role": "agent",
    "name": "agent-0",
    "region": "r",
    "failure_domain": "a",
    "host": "127.0.0.1",
    "link_port": 1,
    "store": "127.0.0.1:1",
    "control": "127.0.0.1:1",
    "log_lines_per_s": 1,
}
PRINT_MODULES = "; import json, sys; print(json.dumps(sorted(sys.modules)))"
ROLES = {
    "entry": ("nodes.job_entry", "platform.ingress"),
    "agent": (
        "nodes.job_agent",
        "platform.control",
        "platform.machine",
    ),
}
# Libraries and modules of the product's own interface.
UNUSED = (
    "klein",
    "twisted.web",
    "werkzeug",
    "_jasminewind.configuration",
    "_jasminewind.messages.membership",
    "_jasminewind.messages.ownership",
    "_jasminewind.messages.tasks",
    "_jasminewind.messages.work",
    "_jasminewind.platform.protocol",
)
# The decisions of entries.
UNUSED_IN_ROLE = {
    "agent": (
        "_jasminewind.decisions.jobs.owner",
        "_jasminewind.decisions.jobs.placement",
        "_jasminewind.nodes.job_entry",
    ),
}


@pytest.mark.parametrize("role", ROLES)
def test_a_process_loads_only_what_its_role_uses(role):
    """Guards against seconds without service after each restart.

    On a machine with 0.4 cores, klein alone delays an entry by a quarter of
    a second.
    """
    names = ("platform.daemon", *ROLES[role])
    imports = ", ".join(f"_jasminewind.{name}" for name in names)
    output = subprocess.run(
        [sys.executable, "-c", f"import {imports}{PRINT_MODULES}"],
        check=True,
        capture_output=True,
    ).stdout
    unused = UNUSED + UNUSED_IN_ROLE.get(role, ())
    loaded = {name for name in json.loads(output) if name.startswith(unused)}
    assert not loaded


@pytest.mark.parametrize(
    ("path", "reason"),
    [
        (None, "JASMINEWIND_NODE_FILE"),
        ("missing.json", "cannot read the file"),
        ("", "JASMINEWIND_NODE_FILE"),
    ],
)
def test_a_process_without_settings_says_what_is_missing(
    tmp_path, path, reason
):
    """Guards against a traceback instead of an instruction."""
    environment = {
        name: value
        for name, value in os.environ.items()
        if name != "JASMINEWIND_NODE_FILE"
    }
    if path is not None:
        environment["JASMINEWIND_NODE_FILE"] = path
    found = subprocess.run(
        [sys.executable, str(PROGRAM)],
        env=environment,
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert found.returncode == 2
    (line,) = found.stderr.splitlines()
    assert reason in line


@pytest.mark.parametrize(
    "target",
    [
        'job_agent.JobAgent, "__init__"',
        'daemon.clocks, "use_boottime_clock"',
        'reactor, "run"',
    ],
)
def test_an_unhandled_error_is_logged_before_the_end(tmp_path, target):
    """Guards against a process that ends without saying why."""
    settings = tmp_path / "settings.json"
    settings.write_text(json.dumps(SETTINGS))
    found = subprocess.run(
        [sys.executable, "-c", FAILING.format(target)],
        env={**os.environ, "JASMINEWIND_NODE_FILE": str(settings)},
        capture_output=True,
        text=True,
    )
    assert found.returncode == 1
    line = json.loads(found.stdout.splitlines()[-1])
    assert line["event"] == "ended by an unhandled error"
    assert (line["node"], line["level"]) == ("agent-0", "critical")
    assert line["exception"][0]["exc_type"] == "MemoryError"
    assert "MemoryError: no room" in found.stderr
