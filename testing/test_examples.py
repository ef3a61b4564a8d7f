"""Tests that the files in ``examples/`` are valid and complete."""

import pathlib

import pytest

from _jasminewind import settings
from _jasminewind.api import connect
from _jasminewind.api import initial
from _jasminewind.api import validation
from _jasminewind.api.pb import work_pb2

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
WALL_MS = 1_796_000_000_000


@pytest.mark.parametrize("deployment", ["karri-creek", "federation"])
def test_example_work_is_valid_under_the_example_configuration(deployment):
    """Guards against example jobs and requests that are rejected."""
    folder = EXAMPLES / deployment
    config = initial.read(folder / "config.json").unwrap()
    options = {
        "config": config,
        "wall_ms": WALL_MS,
        "timeout_s": None,
        "body_bytes": 0,
        "new_id": lambda: "id",
    }
    job = connect.decode(
        (folder / "job.json").read_bytes(), work_pb2.SubmitJobRequest
    ).unwrap()
    assert validation.submit_job(job, **options).is_ok()
    request = connect.decode(
        (folder / "request.json").read_bytes(), work_pb2.CallRequest
    ).unwrap()
    assert validation.call(request, **options).is_ok()


@pytest.mark.parametrize(
    "text", ["", "{", '{"teams": [{"nam": "x"}]}', '{"shardCount": 0}']
)
def test_error_of_bad_initial_configuration_names_the_file(tmp_path, text):
    """Guards against accepting a bad file, and errors that do not name it."""
    path = tmp_path / "config.json"
    if text:
        path.write_text(text)
    assert str(path) in initial.read(path).unwrap_err()


@pytest.mark.parametrize(
    "path", sorted((EXAMPLES / "settings").rglob("*.json")), ids=str
)
def test_example_settings_are_valid(path):
    """Guards against example settings files that fail to load."""
    assert settings.load(path).is_ok()


def test_example_settings_cover_each_role_of_each_deployment():
    """Guards against a role without example settings."""
    actual = [
        (path.parent.name, path.name)
        for path in sorted((EXAMPLES / "settings").rglob("*.json"))
    ]
    names = ["agent-minion.json", "agent-worker.json", "entry.json"]
    assert actual == [
        (deployment, name)
        for deployment in ("federation", "karri-creek")
        for name in names
    ]
