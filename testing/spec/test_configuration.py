"""The model of the configuration protocol holds, its mutations do not."""

import pytest

from spec import configuration


def test_model_is_exhaustive_and_holds() -> None:
    """Guards against a hole in the protocol, or in the search of it."""
    checked = configuration.check_one(configuration.Mutation.NONE)
    assert checked.exhaustive
    assert checked.states > 10_000
    assert checked.counterexamples == {}


@pytest.mark.parametrize(
    "mutation",
    [m for m in configuration.Mutation if m != configuration.Mutation.NONE],
)
def test_every_rule_is_needed(mutation: configuration.Mutation) -> None:
    """Guards against a model that would hold without its rules."""
    checked = configuration.check_one(mutation)
    assert checked.counterexamples
    assert not checked.exhaustive
