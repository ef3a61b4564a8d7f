"""Tests of settings validation and of the settings page."""

import json

import pytest

from _jasminewind import settings
from tools import settings_page

ENTRY = {
    "role": "entry",
    "name": "entry-1",
    "region": "wa-south",
    "failure_domain": "a",
    "rack": "r1",
    "host": "127.0.0.1",
    "port": 7400,
    "api_port": 7480,
    "table": {"host": "127.0.0.1", "port": 7300},
}
SEED = {"host": "127.0.0.1", "port": 7400}
AGENT = {
    **ENTRY,
    "role": "agent",
    "port": 7401,
    "api_port": 0,
    "local_port": 7481,
    "seeds": [SEED],
}


def mistakes(content):
    """Return the paths of the mistakes that parsing reports."""
    read = settings.parse(json.dumps(content).encode())
    return [m.path for m in read.unwrap_err().mistakes]


@pytest.mark.parametrize("content", [ENTRY, AGENT])
def test_valid_settings_are_read(content):
    """Guards against valid settings that are rejected."""
    read = settings.parse(json.dumps(content).encode()).unwrap()
    assert read.role.value == content["role"]
    assert read.table == settings.HostPort(host="127.0.0.1", port=7300)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("role", "boss"),
        ("role", None),
        ("name", ""),
        ("name", "a b"),
        ("host", "0.0.0.0"),
        ("host", "entry.example"),
        ("port", 0),
        ("port", 65_536),
        ("port", "7400"),
        ("port", 7400.5),
        ("port", True),
        ("seeds", SEED),
        ("seeds", [{"host": "127.0.0.1"}]),
        ("table", "127.0.0.1:7300"),
        ("log_level", "loud"),
        ("decision_log_share", 1.1),
        ("shutdown_limit_s", 0),
        ("metrics_endpoint", "collector:4318"),
        ("initial_config_file", 7),
    ],
)
def test_each_mistake_is_named_with_its_path(name, value):
    """Guards against starting with an invalid setting."""
    (path,) = mistakes({**ENTRY, name: value})
    assert path.startswith(name)


def test_mistakes_tell_type_range_and_unit():
    """Guards against messages without the expected type and range."""
    read = settings.parse(json.dumps({**ENTRY, "port": 70_000}).encode())
    (mistake,) = read.unwrap_err().mistakes
    assert str(mistake) == (
        "port: is 70000, need whole number from 1 to 65535 (TCP port)"
    )


def test_all_mistakes_are_reported_at_once():
    """Guards against an operator who finds one mistake per start."""
    content = {**ENTRY, "prot": 1, "rack": "", "log_level": 5, "api_port": 0}
    del content["table"]
    assert mistakes(content) == ["prot", "rack", "table", "log_level"]
    content = {**ENTRY, "prot": 1, "api_port": 7400}
    assert mistakes(content) == ["prot", "api_port"]


def test_unknown_setting_is_refused_with_a_suggestion():
    """Guards against a misspelt setting that silently keeps its default."""
    read = settings.parse(json.dumps({**ENTRY, "racks": "r"}).encode())
    assert "did you mean 'rack'?" in str(read.unwrap_err())


@pytest.mark.parametrize(
    ("base", "fields", "path"),
    [
        (ENTRY, {"api_port": 7400}, "api_port"),
        (ENTRY, {"api_port": 0}, "api_port"),
        (ENTRY, {"local_port": 7481}, "local_port"),
        (ENTRY, {"table": SEED}, "table.port"),
        (ENTRY, {"seeds": [SEED]}, "seeds[0]"),
        (AGENT, {"seeds": []}, "seeds"),
        (AGENT, {"seeds": [SEED, SEED]}, "seeds[1]"),
        (AGENT, {"local_port": 0}, "local_port"),
        (AGENT, {"initial_config_file": "c.json"}, "initial_config_file"),
        (
            AGENT,
            {"endpoint_lease_s": 30, "shutdown_limit_s": 20},
            "endpoint_lease_s",
        ),
    ],
)
def test_contradictions_are_found(base, fields, path):
    """Guards against settings that are valid alone but conflict."""
    assert mistakes({**base, **fields}) == [path]


@pytest.mark.parametrize("text", [b"", b"[]", b"{", b"\xff", b"[" * 100_000])
def test_file_that_is_not_an_object_is_one_mistake(text):
    """Guards against a traceback on start."""
    assert len(settings.parse(text).unwrap_err().mistakes) == 1


def test_missing_file_is_one_mistake(tmp_path):
    """Guards against a traceback for a wrong path."""
    read = settings.load(tmp_path / "none.json")
    assert "cannot read" in str(read.unwrap_err())


def test_settings_page_is_current():
    """Guards against a settings page that is out of date."""
    assert settings_page.main(["--check"]) == 0


def test_examples_on_the_page_are_valid():
    """Guards against invalid examples on the settings page."""
    blocks = settings_page.EXAMPLES.split("```json\n")[1:]
    assert len(blocks) == 2
    for block in blocks:
        settings.parse(block.split("```")[0].encode()).unwrap()
