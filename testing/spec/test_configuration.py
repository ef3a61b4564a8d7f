"""Tests that the configuration model holds and its mutations fail."""

import pytest

from spec import configuration


def test_model_is_exhaustive_and_holds() -> None:
    """Guards against a protocol fault and an incomplete search."""
    result = configuration.check_one(configuration.Mutation.NONE)
    assert result.exhaustive
    assert result.states > 10_000
    assert result.counterexamples == {}


@pytest.mark.parametrize(
    "mutation",
    [m for m in configuration.Mutation if m != configuration.Mutation.NONE],
)
def test_every_rule_is_needed(mutation: configuration.Mutation) -> None:
    """Guards against a model that holds without one of its rules."""
    result = configuration.check_one(mutation)
    assert result.counterexamples
    assert not result.exhaustive
