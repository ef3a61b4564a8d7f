"""Tests that the pages name everything that users meet."""

import pathlib
import random

import pytest
from twisted.internet import task

from _jasminewind import errors
from _jasminewind.api import server
from _jasminewind.cli import main
from _jasminewind.cli import outcomes
from testing.api import conftest

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"


def test_api_page_names_every_error_code():
    """Guards against an error without a documented action."""
    page = (DOCS / "api.md").read_text()
    assert [c for c in errors.Code if f"| `{c.value}` |" not in page] == []


def test_api_page_names_every_method():
    """Guards against remote methods that nobody finds."""
    page = (DOCS / "api.md").read_text()
    clock = task.Clock()
    api = server.ApiServer(
        backend=conftest.RecordedBackend(clock),
        clock=clock,
        rng=random.Random(1),
    )
    names = [m for methods in api.services.values() for m in methods]
    assert len(names) == 18
    assert [n for n in names if f"`{n}`" not in page] == []


def test_cli_page_names_every_exit_code():
    """Guards against exit codes that scripts cannot interpret."""
    page = (DOCS / "cli.md").read_text()
    for code in outcomes.ExitCode:
        assert f"| {int(code)} |" in page


@pytest.mark.parametrize("group", ["", "job", "config"])
def test_cli_page_names_every_command(group):
    """Guards against commands that nobody finds."""
    page = (DOCS / "cli.md").read_text()
    root = main.Jasminewind()
    found = getattr(root, group) if group else root
    names = [
        f"{group} {name}".strip().replace("_", "-")
        for name in dir(type(found))
        if not name.startswith("_")
    ]
    assert len(names) >= 4
    assert [n for n in names if f"`{n}" not in page] == []
