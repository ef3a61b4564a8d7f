"""Tests of the generator of the capacity page."""

import copy

import pytest

from tools import capacity_page


@pytest.fixture
def figures():
    """Return the committed figures."""
    return capacity_page.load_figures()


def test_page_is_current():
    """Guards against a page that differs from the measured files."""
    assert capacity_page.main(["--check"]) == 0


def test_edited_number_is_found(tmp_path, monkeypatch):
    """Guards against a check that passes whatever the page says."""
    text = capacity_page.PAGE.read_text()
    changed = tmp_path / "CAPACITY.md"
    changed.write_text(text.replace("MB", "GB", 1))
    monkeypatch.setattr(capacity_page, "PAGE", changed)
    assert capacity_page.main(["--check"]) == 1


def test_changed_measurement_changes_the_page(figures):
    """Guards against numbers that were typed into the template."""
    slopes = copy.deepcopy(figures.slopes)
    for cost in slopes["costs"]:
        cost["fit"]["slope"] *= 10
    other = capacity_page.Figures(slopes=slopes, scale=figures.scale)
    assert capacity_page.render_page(other) != capacity_page.render_page(
        figures
    )


def test_value_above_its_bound_is_named_as_missed():
    """Guards against a verdict that calls a missed budget met."""
    budget = capacity_page.Budget(
        name="memory", value=65.0, unit="MB", bound=64.0, source="", remedy=""
    )
    assert "**missed**" in budget.to_row()


def test_figure_that_was_not_reached_is_not_met():
    """Guards against a run that gave up and passes for a success."""
    budget = capacity_page.Budget(
        name="time", value=None, unit="s", bound=3.0, source="", remedy=""
    )
    assert "not measured" in budget.to_row()


def test_every_missed_budget_names_a_remedy(figures):
    """Guards against a miss without the mechanism that has to mend it."""
    for budget in capacity_page.evaluate_budgets(
        capacity_page.CapacityPlan(figures)
    ):
        assert budget.remedy


def test_named_files_exist(figures):
    """Guards against a mechanism in a file that was moved."""
    page = capacity_page.render_page(figures)
    names = {w for w in page.split("`") if w.startswith("_jasminewind/")}
    assert names
    source = capacity_page.ROOT / "src"
    assert not [name for name in names if not (source / name).exists()]
