"""Tests that each rule removed from a model gives a counterexample."""

import pytest

from spec import check
from spec import delivery
from spec import departures
from spec import grants
from spec import later_lives
from spec import ownership
from spec import starts

CASES = [
    (model, mutation)
    for model in (
        ownership,
        starts,
        grants,
        departures,
        later_lives,
        delivery,
    )
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

    Entries may leave the subset of an agent at any moment. The model must have
    each way in which an entry learns late that its caller has left.
    """
    labels = set()
    result = check.search(check.recorded(grants.build(), labels))
    assert result.exhaustive
    assert result.steps is None
    assert labels >= {
        "the entry is paused",
        "the entry wakes",
        "heartbeat waits for a read",
        "the entry reads its callers, its caller has left, no stop",
        "heartbeat is acknowledged, its caller has left, the stop is not "
        "answered",
    }


def test_starts_hold():
    """Guards against a second start of a task whose answer was lost."""
    result = check.search(starts.build())
    assert result.exhaustive
    assert result.steps is None


def test_departures_hold():
    """Guards against a run that is given up while its endpoint executes it.

    The endpoint may leave, fall silent or be replaced, and so may the agent.
    The model must have each reason to place a task again.
    """
    labels = set()
    result = check.search(check.recorded(departures.build(), labels))
    assert result.exhaustive
    assert result.steps is None
    assert labels >= {
        "the endpoint lists the end",
        "the endpoint does not list the run",
        "the lease has certainly expired",
        "the process registers the agent and accepts",
        "the process accepts after the leases",
        "the entry places the task again",
    }


def test_later_lives_hold():
    """Guards against a start that a later life carries out beside another run.

    The model must have each way in which the task is placed again.
    """
    labels = set()
    result = check.search(check.recorded(later_lives.build(), labels))
    assert result.exhaustive
    assert result.steps is None
    assert labels >= {
        "the stop is answered",
        "the lease has certainly expired",
        "the entry gives up the agent",
        "a life begins, and its first reply is lost",
        "the start is refused",
        "the entry places the task again",
    }


@pytest.mark.parametrize("mutation", departures.MUTATIONS)
def test_counterexamples_of_departures_are_short(mutation):
    """Guards against rules that only a contrived sequence needs."""
    result = check.find_counterexample(departures.build(mutation))
    assert 0 < (result.steps or 0) <= 12


def test_delivery_holds():
    """Guards against a lost, doubled or late message that breaks a rule.

    The model must have each of the messages.
    """
    labels = set()
    result = check.search(check.recorded(delivery.build(), labels))
    assert result.exhaustive
    assert result.steps is None
    assert labels >= {
        "run 1 of entry 0: start arrives",
        "run 1 of entry 0: stop arrives",
        "run 1 of entry 0: report arrives",
        "run 1 of entry 0: ack arrives",
        "run 1 of entry 0: heartbeat is acknowledged",
        "run 1 of entry 0: overdue, is queried",
        "run 1 of entry 0: the new process accepts work",
        "run 2 of entry 0: start arrives",
        "run 1 of entry 1: start arrives",
        "run 1 of entry 1: report arrives",
        "the caller returns to entry 1, which refuses",
        "the confirmation arrives",
    }


@pytest.mark.parametrize("name", delivery.LOSSY_STATES)
def test_delivery_recovers(name):
    """Guards against a lost message that has an effect for good.

    Each entry can order runs from each agent again, knows the end of its run,
    and the cancellation is confirmed.
    """
    result = check.search_trap(delivery.build_lossy(name))
    assert result.exhaustive
    assert result.steps is None


@pytest.mark.parametrize(
    ("mutation", "name"), delivery.LIVENESS_MUTATIONS.items()
)
def test_removed_repetition_leaves_a_trap(mutation, name):
    """Guards against a model that recovers without one of its rules."""
    result = check.search_trap(delivery.build_lossy(name, mutation))
    assert result.exhaustive
    assert result.steps is not None
