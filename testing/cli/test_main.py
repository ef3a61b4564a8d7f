"""Tests of the command line against a scripted entry."""

import json
import pathlib
import socket

import pytest

from _jasminewind import ids
from _jasminewind.cli import jobs

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
SUBMIT = "JobService/SubmitJob"
GET = "JobService/GetJob"
CALL = "RequestService/Call"
PROPOSE = "ConfigService/ProposeChange"
WORK_ID = "01a24052-d8a9-76bd-8cca-3aec1972b152"
COMPLETE = {
    "id": WORK_ID,
    "state": "COMPLETE",
    "tasksTotal": 1,
    "tasksDone": 1,
    "outputs": [
        {"name": "a", "payload": {"ok": 1}, "endpoint": "w1", "runS": 0.25}
    ],
}
RUNNING = {
    "id": WORK_ID,
    "state": "RUNNING",
    "tasksTotal": 4,
    "tasksDone": 2,
    "outputs": [],
}
CONFIG = {
    "version": "7",
    "author": "els",
    "teams": [
        {"name": "a", "maxInFlight": 5, "startsPerS": 6.0, "weight": 1.0}
    ],
    "services": [{"name": "s", "methods": [{"name": "m"}]}],
    "policy": {"routing": "random", "longTaskS": 2.0},
    "limits": {"maxTasks": 110},
    "drained": ["minion-3"],
    "shardCount": 8,
    "cellCount": 1,
}
NO_RESPONSE = None


@pytest.fixture
def configured(entry):
    """Return an entry that has a configuration and accepts changes."""
    entry.script_replies("ConfigService/GetConfig", {"config": CONFIG})
    entry.script_replies(PROPOSE, {"changeId": "c", "version": "8"})
    return entry


def test_new_id_is_valid(run):
    """Guards against generated ids that the entry rejects."""
    assert ids.parse(run("new-id").out.strip()).is_ok()


def test_submit_prints_the_answer_and_its_id(entry, run, job_file):
    """Guards against hiding the answer, or the id needed to resubmit."""
    entry.script_replies(SUBMIT, COMPLETE)
    result = run("job", "submit", job_file)
    assert result.exit_code == 0
    assert "w1" in result.out and '{"ok": 1}' in result.out
    (body,) = entry.bodies_of(SUBMIT)
    assert ids.parse(body["id"]).is_ok()
    assert f"id: {body['id']}" in result.err


def test_submit_with_an_id_resubmits(entry, run, job_file):
    """Guards against sending a resubmission under a new id."""
    entry.script_replies(SUBMIT, COMPLETE)
    result = run("--json", "job", "submit", job_file, "--id", WORK_ID)
    assert json.loads(result.out) == COMPLETE
    assert entry.bodies_of(SUBMIT)[0]["id"] == WORK_ID


def test_switch_does_not_take_the_next_argument(entry, run, job_file):
    """Guards against `--detach FILE` parsing FILE as the option's value."""
    entry.script_replies(SUBMIT, {"id": WORK_ID, "state": "QUEUED"})
    result = run("--json", "job", "submit", "--detach", job_file)
    assert json.loads(result.out)["state"] == "QUEUED"
    assert entry.bodies_of(SUBMIT)[0]["detach"] is True


@pytest.mark.parametrize(
    ("code", "outcome", "exit_code"),
    [
        ("internal", "FAILED_WHILE_RUNNING", 1),
        ("invalid_argument", "NOT_RUN", 2),
        ("resource_exhausted", "NOT_RUN", 3),
        ("unavailable", "NOT_RUN", 3),
        ("unavailable", "MAY_HAVE_RUN", 4),
        ("invalid_argument", "MAY_HAVE_RUN", 4),
    ],
)
def test_exit_code_tells_the_outcome(
    entry, run, job_file, code, outcome, exit_code
):
    """Guards against exit codes that make scripts rerun or drop work."""
    entry.script_error(SUBMIT, code, outcome)
    result = run("job", "submit", job_file)
    assert result.exit_code == exit_code
    assert result.err.splitlines()[-1] == f"jasminewind: {code}: team: why"
    result = run("job", "submit", job_file, "--json")
    assert json.loads(result.err)["exitCode"] == exit_code


@pytest.mark.parametrize(
    ("code", "exit_code"),
    [("invalid_argument", 2), ("resource_exhausted", 3)],
)
def test_refusal_of_a_new_id_is_definite(
    entry, run, job_file, code, exit_code
):
    """Guards against "may have run" for work that was sent once and refused.

    The entry cannot exclude an earlier submission with the id. The command
    can if it made the id.
    """
    call = ("call", "hutch-orders", "quote", "--team", "crew-desk")
    for method, command in (
        (SUBMIT, ("job", "submit", job_file)),
        (CALL, call),
    ):
        entry.script_error(method, code, "MAY_HAVE_RUN", notRunIfFirst=True)
        result = run(*command)
        assert result.exit_code == exit_code
        assert "this id is new, so nothing was run" in result.err
        assert run(*command, "--id", WORK_ID).exit_code == 4
        entry.script_error(method, code, "MAY_HAVE_RUN")
        assert run(*command).exit_code == 4


def test_refusal_of_the_id_in_a_job_file_may_have_run(entry, run, job_file):
    """Guards against "not run" for a job that a file names and resubmits."""
    job = json.loads(job_file.read_text())
    job_file.write_text(json.dumps({**job, "id": WORK_ID}))
    entry.script_error(
        SUBMIT, "invalid_argument", "MAY_HAVE_RUN", notRunIfFirst=True
    )
    assert run("job", "submit", job_file).exit_code == 4


@pytest.mark.parametrize("reply", [NO_RESPONSE, (502, b"<html>bad</html>")])
def test_lost_response_may_have_run_and_is_not_retried(
    entry, run, job_file, reply
):
    """Guards against reporting work as not run when its response is lost."""
    entry.script_replies(SUBMIT, reply)
    result = run("job", "submit", job_file, "--id", WORK_ID)
    assert result.exit_code == 4
    assert f"--id {WORK_ID}" in result.err
    assert len(entry.bodies_of(SUBMIT)) == 1
    entry.script_replies("OperationsService/GetStatus", reply)
    assert run("status").exit_code == 5


def test_unreachable_entry_is_a_one_line_error(run, monkeypatch, job_file):
    """Guards against tracebacks, and errors that hide what was sent."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"http://127.0.0.1:{unused.getsockname()[1]}"
        monkeypatch.setenv("JASMINEWIND_ENTRY", address)
        result = run("job", "submit", job_file)
    assert result.exit_code == 5
    assert "nothing was sent" in result.err


@pytest.mark.parametrize(
    "arguments",
    [
        ("job", "submit", "none.json"),
        ("job", "submit"),
        ("job", "submit", "a", "b"),
        ("job", "fly"),
        ("status", "--loud"),
        ("status", "--entry", "entry:7480"),
        ("status", "--entry", "http://host:port"),
        ("call", "s", "m", "--payload", "{"),
        ("call", "s", "m", "--payload", "[]"),
        ("call", "s", "m", "--deadline-s", "soon"),
        ("release-shard", "first"),
        ("drain", "minion-3", "minion-4"),
        ("check-settings", "none.json"),
        ("config", "propose", str(EXAMPLES / "federation/job.json")),
    ],
)
def test_bad_usage_sends_nothing(entry, run, arguments):
    """Guards against calling the entry before all arguments are parsed."""
    result = run(*arguments)
    assert result.exit_code == 2
    assert result.err.strip()
    assert entry.calls == []


def test_names_that_look_like_numbers_stay_text(entry, run):
    """Guards against draining endpoint 100000.0 instead of 1e5."""
    entry.script_replies("OperationsService/Drain", {"version": "8"})
    run("drain", "1e5")
    (body,) = entry.bodies_of("OperationsService/Drain")
    assert body["name"] == "1e5"


def test_progress_is_shown_while_a_job_runs(entry, run, job_file, monkeypatch):
    """Guards against a long job that shows no progress."""
    monkeypatch.setattr(jobs, "POLL_INTERVAL_S", 0.01)
    entry.script_replies(GET, RUNNING, RUNNING, COMPLETE)
    result = run("job", "follow", WORK_ID)
    assert result.exit_code == 0
    assert "running: 2 of 4 tasks done" in result.err
    assert "w1" in result.out


def test_follow_retries_while_an_entry_is_replaced(entry, run, monkeypatch):
    """Guards against `job follow` failing on a single lost response."""
    monkeypatch.setattr(jobs, "POLL_INTERVAL_S", 0.01)
    entry.script_replies(GET, NO_RESPONSE, (502, b""), COMPLETE)
    assert run("job", "follow", WORK_ID).exit_code == 0


def test_get_and_follow_exit_with_the_outcome_of_a_failed_job(entry, run):
    """Guards against exit code 0 for a failed job."""
    failure = {"outcome": "FAILED_WHILE_RUNNING", "reason": "saw broke"}
    entry.script_replies(
        GET, {**RUNNING, "state": "FAILED", "failure": failure}
    )
    for command in ("get", "follow"):
        result = run("job", command, WORK_ID)
        assert result.exit_code == 1
        assert "saw broke" in result.err


def test_unknown_id_is_a_one_line_error(entry, run):
    """Guards against following an unknown job for ever, and a traceback."""
    entry.script_error(GET, "not_found", "MAY_HAVE_RUN", status=404)
    for command in ("get", "follow"):
        assert run("job", command, WORK_ID).exit_code == 4


def test_call_sends_the_payload(entry, run, tmp_path):
    """Guards against a request that differs from the arguments."""
    entry.script_replies(
        "RequestService/Call", {"id": WORK_ID, "payload": "ok"}
    )
    path = tmp_path / "payload.json"
    path.write_text('{"run_s": 0.2}')
    result = run("call", "s", "m", "--team", "t", "--payload", f"@{path}")
    assert result.out == '"ok"\n'
    (body,) = entry.bodies_of("RequestService/Call")
    assert body["payload"] == {"run_s": 0.2}
    assert (body["team"], body["service"], body["method"]) == ("t", "s", "m")


def test_set_team_keeps_omitted_options(configured, run):
    """Guards against resetting an omitted quota to its default."""
    result = run("config", "set-team", "a", "--weight", "3")
    assert result.exit_code == 0
    (body,) = configured.bodies_of(PROPOSE)
    assert body["setTeam"] == {**CONFIG["teams"][0], "weight": 3.0}
    assert body["expectedVersion"] == "7"


def test_set_policy_and_limits_keep_omitted_options(configured, run):
    """Guards against one option resetting all others."""
    run("config", "set-policy", "--fair-share", "false")
    run("config", "set-limits", "--max-queued", "9")
    policy, limits = configured.bodies_of(PROPOSE)
    assert policy["setPolicy"] == {**CONFIG["policy"], "fairShare": False}
    assert limits["setLimits"] == {"maxTasks": 110, "maxQueued": 9}


def test_lost_response_to_a_change_names_the_change_id(configured, run):
    """Guards against applying a change twice after a lost response."""
    configured.script_replies(PROPOSE, NO_RESPONSE)
    result = run("config", "remove-team", "a", "--change-id", "c-9")
    assert result.exit_code == 4
    assert "--change-id c-9" in result.err


def test_propose_and_replace_read_files(configured, run, tmp_path):
    """Guards against sending only part of a change file."""
    path = tmp_path / "change.json"
    path.write_text('{"drain": "minion-4", "expectedVersion": 6}')
    assert run("config", "propose", path).exit_code == 0
    example = EXAMPLES / "federation/config.json"
    assert run("config", "replace", example).exit_code == 0
    drain, replace = configured.bodies_of(PROPOSE)
    assert (drain["drain"], drain["expectedVersion"]) == ("minion-4", "6")
    assert replace["replaceAll"] == json.loads(example.read_text())


def test_config_is_printed_and_watched(configured, run):
    """Guards against hiding the current configuration from operators."""
    result = run("config", "get")
    assert "version 7 by els" in result.out and "minion-3" in result.out
    newer = {**CONFIG, "version": "8"}
    configured.script_replies(
        "ConfigService/WatchConfig",
        {"changed": False},
        {"changed": True, "config": newer},
    )
    result = run("config", "watch", "--count", "1")
    assert result.out.startswith("version 8")


@pytest.mark.parametrize(
    "arguments",
    [
        (),
        ("--help",),
        ("job", "submit", "--help"),
        ("config", "set-team", "--help"),
        ("drain", "--help"),
    ],
)
def test_help_is_shown(run, arguments):
    """Guards against commands without help, and internal names in it."""
    result = run(*arguments)
    assert result.exit_code == 0
    assert "SYNOPSIS" in result.out + result.err
    assert "FIRE_METADATA" not in result.out + result.err


def test_check_settings_prints_all_errors(run, tmp_path):
    """Guards against reporting only the first error of a file."""
    path = tmp_path / "settings.json"
    path.write_text('{"role": "boss", "prot": 7400}')
    result = run("check-settings", path)
    assert result.exit_code == 2
    assert "prot: unknown setting; did you mean 'port'?" in result.err
    assert "role: is" in result.err


def test_endpoints_and_decisions_are_printed(entry, run):
    """Guards against replies that cannot be printed as text."""
    endpoint = {
        "name": "minion-1",
        "service": "s",
        "state": "serving",
        "drained": True,
        "failureDomain": "a",
        "rack": "r1",
        "free": {"slots": 3.0},
        "capacity": {"slots": 8.0},
        "running": 5,
        "queued": 0,
    }
    entry.script_replies(
        "OperationsService/ListMinions", {"minions": [endpoint]}
    )
    result = run("minions", "--service", "s")
    assert "serving (drained)" in result.out and "8 slots" in result.out
    entry.script_replies(
        "OperationsService/Explain",
        {"entries": [{"wall_ms": 1500, "kind": "route", "choice": "w1"}]},
    )
    result = run("explain", WORK_ID)
    assert result.out == "00:00:01.500  route  choice=w1\n"
