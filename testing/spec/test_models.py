"""Tests that each rule removed from a model gives a counterexample."""

import pytest

from spec import check
from spec import departures
from spec import grants
from spec import ownership
from spec import starts

CASES = [
    (model, mutation)
    for model in (ownership, starts, grants, departures)
    for mutation in model.MUTATIONS
]


@pytest.mark.parametrize(
    ("model", "mutation"), CASES, ids=[name for _, name in CASES]
)
def test_removed_rule_gives_a_counterexample(model, mutation, monkeypatch):
    """Guards against a model that holds without one of its rules."""
    monkeypatch.setattr(ownership, "MAX_TIME", 1)
    assert check.find_counterexample(model.build(mutation)).steps is not None


def test_grants_hold():
    """Guards against two runs at a time after an entry died or was paused.

    Entries may leave the subset of an agent at any moment.
    """
    result = check.search(grants.build())
    assert result.exhaustive
    assert result.steps is None


def test_starts_hold():
    """Guards against a second start of a task whose answer was lost."""
    result = check.search(starts.build())
    assert result.exhaustive
    assert result.steps is None


def test_departures_hold():
    """Guards against a run that is given up while its endpoint executes it.

    The endpoint may leave, fall silent or be replaced, and so may the agent.
    """
    result = check.search(departures.build())
    assert result.exhaustive
    assert result.steps is None


def test_departures_reach_every_reason_to_place_a_task_again():
    """Guards against a model that holds because nothing happens in it."""
    found = check.reachable_labels(departures.build())
    assert found >= {
        "the endpoint lists the end",
        "the endpoint does not list the run",
        "the lease has certainly expired",
        "the process registers the agent and accepts",
        "the process accepts after the leases",
        "the entry places the task again",
    }


@pytest.mark.parametrize("mutation", departures.MUTATIONS)
def test_counterexamples_of_departures_are_short(mutation):
    """Guards against rules that only a contrived sequence needs."""
    result = check.find_counterexample(departures.build(mutation))
    assert 0 < (result.steps or 0) <= 12
