"""The model of the configuration protocol holds, its mutations do not."""

import pytest

from spec import configuration


def test_model_is_exhaustive_and_holds() -> None:
    """Guards against a hole in the protocol, or in the search of it."""
    result = configuration.check_one(configuration.Mutation.NONE)
    assert result.exhaustive
    assert result.states > 10_000
    assert result.counterexamples == {}


@pytest.mark.parametrize(
    "mutation",
    [m for m in configuration.Mutation if m != configuration.Mutation.NONE],
)
def test_every_rule_is_needed(mutation: configuration.Mutation) -> None:
    """Guards against a model that would hold without its rules."""
    result = configuration.check_one(mutation)
    assert result.counterexamples
    assert not result.exhaustive
