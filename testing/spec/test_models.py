"""Tests that the models notice each removed rule."""

import pytest

from spec import check
from spec import ownership
from spec import starts

CASES = [
    (model, mutation)
    for model in (ownership, starts)
    for mutation in model.MUTATIONS
]


@pytest.mark.parametrize(
    ("model", "mutation"), CASES, ids=[name for _, name in CASES]
)
def test_removed_rule_gives_a_counterexample(model, mutation, monkeypatch):
    """Guards against a model that holds whatever the rules are."""
    monkeypatch.setattr(ownership, "TOP", 1)
    assert check.refute(model.build(mutation)).steps is not None


def test_starts_hold():
    """Guards against a second start of a task whose answer was lost."""
    finding = check.search(starts.build())
    assert finding.exhaustive
    assert finding.steps is None
