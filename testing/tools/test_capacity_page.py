"""Tests of the generator of the capacity page."""

import copy

import pytest

from tools import capacity_page


@pytest.fixture
def figures():
    """Return the committed measurements."""
    return capacity_page.load_figures()


def test_page_is_current():
    """Guards against a page older than the measurements or the template."""
    assert capacity_page.main(["--check"]) == 0


def test_edited_number_is_found(tmp_path, monkeypatch):
    """Guards against a check that accepts a page edited by hand."""
    text = capacity_page.PAGE.read_text()
    changed = tmp_path / "CAPACITY.md"
    changed.write_text(text.replace("MB", "GB", 1))
    monkeypatch.setattr(capacity_page, "PAGE", changed)
    assert capacity_page.main(["--check"]) == 1


def test_changed_measurement_changes_the_page(figures):
    """Guards against numbers written into the template by hand."""
    slopes = copy.deepcopy(figures.slopes)
    for cost in slopes["costs"]:
        cost["fit"]["slope"] *= 10
    other = capacity_page.Figures(slopes=slopes, scale=figures.scale)
    assert capacity_page.render_page(other) != capacity_page.render_page(
        figures
    )


def test_value_above_its_bound_is_named_as_missed():
    """Guards against reporting a value above its bound as met."""
    budget = capacity_page.Budget(
        name="memory", value=65.0, unit="MB", bound=64.0, source="", remedy=""
    )
    assert "**missed**" in budget.to_row()


def test_figure_that_was_not_reached_is_not_met():
    """Guards against counting an aborted measurement as a met budget."""
    budget = capacity_page.Budget(
        name="time", value=None, unit="s", bound=3.0, source="", remedy=""
    )
    assert "not measured" in budget.to_row()


def test_every_missed_budget_names_a_remedy(figures):
    """Guards against a missed budget without advice on how to meet it."""
    for budget in capacity_page.evaluate_budgets(
        capacity_page.CapacityPlan(figures)
    ):
        assert budget.remedy


def test_named_files_exist(figures):
    """Guards against references to source files that were moved."""
    page = capacity_page.render_page(figures)
    names = {w for w in page.split("`") if w.startswith("_jasminewind/")}
    assert names
    source = capacity_page.ROOT / "src"
    assert not [name for name in names if not (source / name).exists()]
