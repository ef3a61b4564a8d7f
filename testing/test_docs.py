"""Tests that the pages name everything that users meet."""

import ast
import pathlib
import random
import re

import pytest
from twisted.internet import task

from _jasminewind import errors
from _jasminewind import metrics
from _jasminewind.api import server
from _jasminewind.cli import main
from _jasminewind.cli import outcomes
from testing import commands
from testing.api import conftest
from tools import metrics_page

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
        backend=conftest.RecordingBackend(clock),
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


@pytest.fixture(scope="module")
def outcomes_of_blocks(tmp_path_factory):
    """Return what the command blocks of the pages did, by block."""
    return commands.run_all(tmp_path_factory.mktemp("commands"))


@pytest.mark.parametrize(
    "block", commands.find_blocks(), ids=lambda b: f"{b.page}-{b.number}"
)
def test_command_block_ends_as_its_page_says(block, outcomes_of_blocks):
    """Guards against commands in the pages that do not work."""
    outcome = outcomes_of_blocks[block]
    assert outcome.status == block.status, outcome.output


def test_blocks_are_found_in_each_page_with_commands():
    """Guards against a marker whose spelling hides a block from tests."""
    assert {b.page for b in commands.find_blocks()} >= {
        "README.md",
        "docs/cli.md",
        "docs/operating.md",
    }
    for page in commands.PAGES:
        text = (commands.ROOT / page).read_text()
        found = [b for b in commands.find_blocks() if b.page == page]
        assert text.count("<!-- run") == len(found)


def test_metrics_page_is_current():
    """Guards against a page that lacks a metric or its action."""
    assert metrics_page.main(["--check"]) == 0


def test_metrics_page_names_no_lost_metric():
    """Guards against advice on metrics that no longer exist."""
    names = {metrics_page.short_name(i) for i in metrics.INSTRUMENTS}
    assert set(metrics_page.ACTIONS) == names


def kinds_in_code():
    """Return the kinds of decision lines that the code writes."""
    kinds = set()
    for path in (commands.ROOT / "src" / "_jasminewind").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            if "LogDecision" not in ast.dump(node.func):
                continue
            value = next(k.value for k in node.keywords if k.arg == "kind")
            kinds |= {
                c.value
                for part in kind_values(value)
                for c in ast.walk(part)
                if isinstance(c, ast.Constant)
            }
    return kinds


def kind_values(value):
    """Return the expressions that a kind is chosen from."""
    if isinstance(value, ast.IfExp):
        return [value.body, value.orelse]
    return [value]


def test_decision_log_page_shows_every_kind():
    """Guards against log lines that an operator cannot look up."""
    page = (DOCS / "operating" / "decision-log.md").read_text()
    kinds = kinds_in_code()
    assert len(kinds) >= 12
    assert [k for k in sorted(kinds) if f"| `{k}` |" not in page] == []
    assert [k for k in sorted(kinds) if f'"kind": "{k}"' not in page] == []


def test_pages_link_to_files_that_exist():
    """Guards against links that break when a page moves."""
    pages = [commands.ROOT / "README.md", commands.ROOT / "CONTRIBUTING.md"]
    broken = []
    for page in [*pages, *DOCS.rglob("*.md")]:
        for target in re.findall(r"\]\(([^)#:]+)[^):]*\)", page.read_text()):
            if not (page.parent / target).exists():
                broken.append(f"{page.name}: {target}")
    assert broken == []


def test_index_lists_every_page():
    """Guards against a page that a newcomer never finds."""
    index = (DOCS / "README.md").read_text()
    names = [str(page.relative_to(DOCS)) for page in DOCS.rglob("*.md")]
    names.remove("README.md")
    assert [name for name in names if f"({name})" not in index] == []
