"""Checks every model and every mutation; see ``make model``."""

import sys

from spec import check
from spec import configuration
from spec import departures
from spec import grants
from spec import ownership
from spec import starts

MODELS = (ownership, starts, grants, departures)


def main() -> int:
    """Print the results; return 1 if one is not as expected."""
    failed = False
    for model in MODELS:
        result = check.search(model.build())
        holds = result.exhaustive and result.steps is None
        failed = failed or not holds
        verdict = "holds" if holds else f"FAILS in {result.steps} steps"
        print(
            f"{result.name}: {result.states} states, "
            f"exhaustive: {result.exhaustive}, invariant {verdict}"
        )
        for label in result.labels:
            print(f"    {label}")
        for mutation in model.MUTATIONS:
            failed = (
                print_mutation(
                    check.find_counterexample(model.build(mutation))
                )
                or failed
            )
    configuration.main()
    return int(failed)


def print_mutation(result: check.SearchResult) -> bool:
    """Print the result of a mutation; return whether it is a failure.

    Each mutation removes a rule that is needed, so it must have a
    counterexample.
    """
    if result.steps is None:
        print(f"  without {result.name}: NO COUNTEREXAMPLE")
        return True
    print(f"  without {result.name}: counterexample of {result.steps} steps")
    return False


if __name__ == "__main__":
    sys.exit(main())
