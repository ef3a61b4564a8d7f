"""Tests that the documentation is complete and its commands work."""

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
    """Guards against an error code without a documented action."""
    page = (DOCS / "api.md").read_text()
    assert [c for c in errors.Code if f"| `{c.value}` |" not in page] == []


def test_api_page_names_every_method():
    """Guards against undocumented API methods."""
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
    """Guards against undocumented exit codes."""
    page = (DOCS / "cli.md").read_text()
    for code in outcomes.ExitCode:
        assert f"| {int(code)} |" in page


@pytest.mark.parametrize("group", ["", "job", "config"])
def test_cli_page_names_every_command(group):
    """Guards against undocumented commands."""
    page = (DOCS / "cli.md").read_text()
    root = main.Jasminewind()
    command_group = getattr(root, group) if group else root
    names = [
        f"{group} {name}".strip().replace("_", "-")
        for name in dir(type(command_group))
        if not name.startswith("_")
    ]
    assert len(names) >= 4
    assert [n for n in names if f"`{n}" not in page] == []


@pytest.fixture(scope="module")
def block_results(tmp_path_factory):
    """Run the command blocks of all pages; return their results by block."""
    return commands.run_blocks(tmp_path_factory.mktemp("commands"))


@pytest.mark.parametrize(
    "block", commands.find_blocks(), ids=lambda b: f"{b.page}-{b.number}"
)
def test_command_block_exits_as_documented(block, block_results):
    """Guards against documented commands that do not work."""
    result = block_results[block]
    assert result.status == block.status, result.output


def test_blocks_are_found_in_each_page_with_commands():
    """Guards against a misspelt marker that excludes a block from tests."""
    assert {b.page for b in commands.find_blocks()} >= {
        "README.md",
        "docs/cli.md",
        "docs/operating.md",
    }
    for page in commands.PAGES:
        text = (commands.ROOT / page).read_text()
        blocks = [b for b in commands.find_blocks() if b.page == page]
        assert text.count("<!-- run") == len(blocks)


def test_metrics_page_is_current():
    """Guards against a generated page that lacks a metric or its action."""
    assert metrics_page.main(["--check"]) == 0


def test_metrics_page_names_no_removed_metric():
    """Guards against advice on metrics that no longer exist."""
    names = {metrics_page.short_name(i) for i in metrics.INSTRUMENTS}
    assert set(metrics_page.ACTIONS) == names


def decision_kinds_in_code():
    """Return the kinds of decisions that the code logs."""
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
                for part in possible_kinds(value)
                for c in ast.walk(part)
                if isinstance(c, ast.Constant)
            }
    return kinds


def possible_kinds(value):
    """Return the expressions that a `kind` argument can evaluate to."""
    if isinstance(value, ast.IfExp):
        return [value.body, value.orelse]
    return [value]


def test_decision_log_page_shows_every_kind():
    """Guards against undocumented kinds of log lines."""
    page = (DOCS / "operating" / "decision-log.md").read_text()
    kinds = decision_kinds_in_code()
    assert len(kinds) >= 12
    assert [k for k in sorted(kinds) if f"| `{k}` |" not in page] == []
    assert [k for k in sorted(kinds) if f'"kind": "{k}"' not in page] == []


def test_pages_link_to_files_that_exist():
    """Guards against broken links after a page is moved."""
    pages = [commands.ROOT / "README.md", commands.ROOT / "CONTRIBUTING.md"]
    broken = []
    for page in [*pages, *DOCS.rglob("*.md")]:
        for target in re.findall(r"\]\(([^)#:]+)[^):]*\)", page.read_text()):
            if not (page.parent / target).exists():
                broken.append(f"{page.name}: {target}")
    assert broken == []


def test_index_lists_every_page():
    """Guards against a page that is missing from the index."""
    index = (DOCS / "README.md").read_text()
    names = [str(page.relative_to(DOCS)) for page in DOCS.rglob("*.md")]
    names.remove("README.md")
    assert [name for name in names if f"({name})" not in index] == []
